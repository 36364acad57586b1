//! The time from which versions count at an entry whose store is restored from an older copy.

mod gateway_support;
mod version_support;

use std::{net::SocketAddr, time::Instant};

use gateway_support::{gateway::HELD, run_local};
use sesamewing::{
    base::Millis,
    gateway::{Assignment, WeightVersion},
    http::{get, Pool},
};
use version_support::{sleep, HarshStore};

/// Delay of the network between the store and an entry, and of the query for the entry's state, on a busy machine.
const NETWORK: Millis = Millis(60);

/// Time in which an entry has read what was written to the store, also while it notices a restore.
const READ: Millis = Millis(1200);

async fn assignment(entry: SocketAddr) -> Assignment {
    let path = "/assignment/plain/a/0";
    let res = get(&Pool::default(), entry, path, Millis::ZERO, Millis(2500)).await;
    Assignment::decode(res.expect("a response").body()).expect("an assignment")
}

/// Asserts that an entry counts the newest version from its write on or from up to `early` before it.
async fn check(entry: SocketAddr, written: Instant, early: Millis) {
    let known = assignment(entry).await;
    assert_eq!(known.newest, Some(WeightVersion(HELD + 1)));
    let found = known.desired.iter().find(|d| d.version.0 == HELD + 1);
    let found = found.expect("not enforced at once");
    let truth = Millis::from(written.elapsed());
    let (late, too_early) = (truth - found.age, found.age - truth);
    println!("{late} late, {too_early} early");
    assert!(late <= NETWORK, "{late} late");
    assert!(too_early <= early, "{too_early} early");
}

/// Guards against a version that counts anew when its record is written again, or that the older copy takes back.
#[test]
fn rewritten_versions_keep_their_time() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        let copy = store.store.copy();
        let written = store.name(HELD + 1);
        sleep(READ).await;
        check(entry, written, Millis(400)).await;
        store.store.restore(&copy);
        sleep(READ).await;
        check(entry, written, Millis(400)).await;
        store.name(HELD + 1);
        sleep(READ).await;
        check(entry, written, Millis(400)).await;
    });
}

/// Guards against a version that is enforced at once because the ends of the old log, which bound its time, are discarded.
#[test]
fn versions_of_the_new_era_are_bounded() {
    run_local(async {
        let store = HarshStore::default();
        let entry = store.start_entry().await;
        let copy = store.store.copy();
        store.store.restore(&copy);
        let written = store.name(HELD + 1);
        sleep(READ).await;
        check(entry, written, Millis(1500)).await;
    });
}
