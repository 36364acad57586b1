//! Fakes for tests of the control stream.
#![allow(dead_code)]

pub(crate) mod log;

use std::time::Duration;

/// Bound of each wait; passes long before on any machine unless the awaited event never happens.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
