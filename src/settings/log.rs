//! The log service.

use super::section::section;
use crate::base::Millis;

section! {
    /// Properties of the log service.
    LogConfig = "log" {
        "Time for which the log service keeps records; snapshots are written several times within it."
        retention: Millis = "24h", "1min", "365d", Root;
    }
}
