//! Fakes for tests of the agent.
#![allow(dead_code)]

pub(crate) mod daemon;
pub(crate) mod engine;
pub(crate) mod fake;
pub(crate) mod http;
pub(crate) mod log;
pub(crate) mod platform;

use std::{future::Future, time::Duration};

use sesamewing::base::Millis;

/// Bound of each wait; passes long before on any machine unless the awaited event never happens.
pub(crate) const WAIT_MAX: Duration = Duration::from_secs(30);

/// Waits for an event that the test expects.
pub(crate) async fn within<T>(what: &str, f: impl Future<Output = T>) -> T {
    match tokio::time::timeout(WAIT_MAX, f).await {
        Ok(out) => out,
        Err(_) => panic!("{what} did not happen within {WAIT_MAX:?}"),
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    within(what, async {
        while !holds() {
            tokio::time::sleep(Millis(5).duration()).await;
        }
    })
    .await;
}
