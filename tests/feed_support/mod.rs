//! Fakes for tests of the control stream.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod fleet;
pub(crate) mod gate;
pub(crate) mod log;

use std::{future::Future, time::Duration};

use sesamewing::base::Millis;

/// Bound of each wait; passes long before on any machine unless the awaited event never happens.
pub(crate) const PATIENCE: Duration = Duration::from_secs(40);

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Millis(2).duration()).await;
        }
    };
    if tokio::time::timeout(PATIENCE, wait).await.is_err() {
        panic!("not within {PATIENCE:?}: {what}");
    }
}

/// Waits until a condition that is itself awaited holds.
pub(crate) async fn until_async<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Millis(10).duration()).await;
        }
    };
    if tokio::time::timeout(PATIENCE, wait).await.is_err() {
        panic!("not within {PATIENCE:?}: {what}");
    }
}
