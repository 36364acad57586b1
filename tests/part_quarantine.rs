//! Parts of prompts that end endpoints are quarantined, and sound ones are not for long, for any number of entries and
//! while entries join, restart, freeze and are cut off; a model without a network.

mod quarantine_support;

use quarantine_support::{key, Entry, Model, DEADLY, SECOND};
use sesamewing::base::Millis;

const COUNTS: [usize; 4] = [1, 9, 48, 410];

/// Load pattern: one request in a hundred to one in three holds a part that ends endpoints, at any entry. Guards against
/// such requests that go on reaching endpoints, and against sound ones that are rejected beside them.
#[test]
fn any_share_at_any_size() {
    for count in COUNTS {
        for share in [10, 50, 300] {
            let mut model = Model::new(count, &[(DEADLY, share)]);
            model.run(Millis(14_000));
            model.assert_kept(&format!("share {share}"));
            assert!(!model.ends.is_empty(), "no endpoint ended");
        }
    }
}

/// Guards against a second deadly part that hides behind the first one.
#[test]
fn two_parts_at_once() {
    for count in COUNTS {
        let mut model = Model::new(count, &[(DEADLY, 40), (SECOND, 30)]);
        model.run(Millis(14_000));
        model.assert_kept("two parts");
    }
}

/// Load pattern: a part that requests have held for seconds begins to end endpoints, and later stops doing so. Guards
/// against a part that is trusted because it used to be answered, and against a quarantine that outlasts its reason.
#[test]
fn sound_part_turns_and_turns_back() {
    for count in [1, 9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        model.deadly = Vec::new();
        model.run(Millis(4000));
        model.assert_kept("sound");
        assert_eq!(model.rejected, 0);
        model.deadly = vec![key(DEADLY)];
        model.run(Millis(10_000));
        model.assert_kept("turned");
        model.deadly = Vec::new();
        // The probe after the first failed one is due 30 s later.
        model.run(Millis(32_000));
        let quarantined = |e: &Entry| e.quarantine.is_quarantined(key(DEADLY));
        assert!(!model.entries.iter().any(quarantined), "turned back");
    }
}

/// Guards against a part that all requests hold and that turns: no answer to other requests tells that endpoints work.
#[test]
fn part_of_all_requests_turns() {
    for count in [1, 9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 1000)]);
        model.deadly = Vec::new();
        model.run(Millis(4000));
        model.deadly = vec![key(DEADLY)];
        model.run(Millis(20_000));
        let ends = model.ends.len();
        let last = model.ends.last().map_or(Millis::ZERO, |e| e.0);
        assert!(ends < 60 * 4, "{count} entries: {ends} ends");
        assert!(
            last + Millis(8000) < model.now,
            "{count} entries: ends go on"
        );
    }
}

/// Guards against an engine whose responses show nothing before their first event, so that no end points strongly to a
/// request.
#[test]
fn late_heads_give_weak_evidence() {
    for count in [1, 9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        model.early_head = false;
        model.run(Millis(14_000));
        model.assert_kept("late heads");
        assert!(model.ends.len() < 20, "{} ends", model.ends.len());
    }
}

/// Guards against probes that are repeated at the first interval although each one ends its endpoint, because the end of
/// an engine whose response shows nothing before its first event does not point strongly to the request.
#[test]
fn failed_probes_count_without_heads() {
    for count in COUNTS {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        model.early_head = false;
        model.run(Millis(60_000));
        model.assert_kept("probes without heads");
    }
}

/// Load pattern: requests wait at endpoints for longer than it takes to end many of them. Guards against evidence that
/// needs a request which was sent after the first end.
#[test]
fn long_queues() {
    for count in [1, 9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        model.queue = Millis(900);
        model.run(Millis(14_000));
        model.assert_kept("long queues");
    }
}

/// Guards against sound parts that are quarantined for long because endpoints end for other reasons: singly, and many at
/// the same moment.
#[test]
fn other_ends_accuse_nobody_for_long() {
    for count in COUNTS {
        let mut model = Model::new(count, &[]);
        for round in 0..6 {
            for endpoint in 0..60 {
                if round % 2 == 1 || endpoint % 3 != 0 {
                    model.end(endpoint);
                }
            }
            model.run(Millis(1500));
            for endpoint in 0..10 {
                if model.endpoints[endpoint].0 <= model.now {
                    model.end(endpoint);
                }
                model.run(Millis(200));
            }
        }
        model.assert_kept("other ends");
    }
}

/// Guards against entries that restart or join in the middle and send requests with a part that the others have
/// quarantined, or accuse a sound one.
#[test]
fn restarts_and_joins() {
    for count in [9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        for round in 0..12 {
            model.run(Millis(1000));
            for n in 0..count / 8 {
                let i = (round * 5 + n) % count;
                model.entries[i] = Entry::new(i, model.now.0, model.now);
            }
            let joined = model.entries.len();
            model
                .entries
                .push(Entry::new(joined, model.now.0, model.now));
            model.beat();
        }
        model.assert_kept("restarts and joins");
    }
}

/// Guards against an entry that stood still and clears, by what it heard before, a part that ended endpoints meanwhile.
#[test]
fn frozen_entries() {
    for count in [9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        for round in 0..4 {
            for i in (round % 3..count).step_by(3) {
                model.entries[i].frozen = model.now + Millis(2500);
            }
            model.run(Millis(3500));
        }
        model.assert_kept("frozen");
    }
}

/// Guards against probes that each side of a partitioned network sends, and against a quarantine that one side lifts.
#[test]
fn partitions() {
    for count in [9, 48] {
        let mut model = Model::new(count, &[(DEADLY, 50)]);
        model.run(Millis(3000));
        for i in 0..count / 3 {
            model.entries[i].side = 1;
        }
        model.run(Millis(6000));
        for entry in &mut model.entries {
            entry.side = 0;
        }
        model.run(Millis(6000));
        model.assert_kept("partition");
    }
}

/// Guards against state that grows with parts that callers invent, and against a deadly part that is forgotten among
/// them.
#[test]
fn invented_parts_are_bounded() {
    let mut model = Model::new(9, &[(DEADLY, 50)]);
    model.invented = 30;
    for endpoint in 0..60 {
        model.end(endpoint);
        model.run(Millis(100));
    }
    model.run(Millis(6000));
    model.assert_kept("invented");
    for entry in &model.entries {
        assert!(entry.quarantine.len() <= 512, "{}", entry.quarantine.len());
    }
}
