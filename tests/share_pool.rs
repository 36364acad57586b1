//! Grants of shares of a workspace's limits.

use sesamewing::{
    base::{Millis, ProcessName},
    decide::limit::share::{Share, SharePool},
};

const LIMIT: Share = Share {
    concurrency: 60,
    rate: 600_000,
};

const LIFETIME: Millis = Millis(3000);

fn name(text: &str) -> ProcessName {
    text.parse().expect("a valid name")
}

/// Guards against a first report that is granted the whole limit: the other entries would reject requests of an idle
/// workspace until the first entry reports again.
#[test]
fn later_entries_get_a_share() {
    let mut pool = SharePool::default();
    let demand = Share {
        concurrency: 2,
        rate: 2000,
    };
    let mut sum = Share::default();
    for entry in ["a", "b", "c"] {
        let share = pool.grant(Millis(10), &name(entry), demand, LIMIT, LIFETIME, 3);
        // At least the demand plus half of an equal share, to leave room for growth.
        assert!(share.concurrency >= 10, "{entry}: {share:?}");
        assert!(share.rate >= 100_000, "{entry}: {share:?}");
        sum.concurrency += share.concurrency;
        sum.rate += share.rate;
    }
    assert!(sum.concurrency <= LIMIT.concurrency && sum.rate <= LIMIT.rate);
}

/// Guards against grants beyond the limit when demand exceeds it, also when more entries report than are known.
#[test]
fn grants_stay_within_the_limit() {
    for entries in [1, 2, 3, 9] {
        let mut pool = SharePool::default();
        for round in 0..20_u64 {
            let mut sum = Share::default();
            for (i, entry) in ["a", "b", "c"].iter().enumerate() {
                let demand = Share {
                    concurrency: (round as u32 * 7 + i as u32 * 11) % 90,
                    rate: (round * 70_000 + i as u64 * 110_000) % 900_000,
                };
                let now = Millis(round * 1000 + i as u64);
                let share = pool.grant(now, &name(entry), demand, LIMIT, LIFETIME, entries);
                sum.concurrency += share.concurrency;
                sum.rate += share.rate;
            }
            assert!(
                sum.concurrency <= LIMIT.concurrency && sum.rate <= LIMIT.rate,
                "{entries} entries, round {round}: {sum:?}"
            );
        }
    }
}
