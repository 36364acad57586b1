//! Retries inside the system.

use super::section::section;
use crate::base::Percent;

section! {
    /// Retry limits of a service.
    Retry = "retry" {
        "Retries as a share of requests."
        budget: Percent = "10%", "0%", "100%", Service;
        "Attempts for each request, the first included."
        attempts: u32 = "3", "1", "10", Service;
    }
}
