//! More urgent requests find slots under overload, and less urgent ones are not shut out; a model without a network.

use sesamewing::{base::Millis, decide::priority::PriorityLoad};

const SLOTS: u32 = 12;

/// Time of a request in its slot, on average.
const WORK: Millis = Millis(600);

/// Time that is played, and its part whose requests are not counted.
const TIME: Millis = Millis(20_000);
const SETTLING: Millis = Millis(4000);

/// Share of the requests of each priority, in hundredths.
const MIX: [u64; 3] = [33, 40, 27];

/// Least share of the most urgent requests that must begin while their own load is below the capacity.
const URGENT_MIN: f64 = 0.8;

/// Requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: u32,
    begun: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.begun) / f64::from(self.offered.max(1))
    }
}

/// Plays requests at `load` hundredths of what the engines can begin; `reserves` says whether entries keep slots free.
fn play(entries: usize, engines: usize, load: u64, mix: [u64; 3], reserves: bool) -> [Count; 3] {
    let mut rng = fastrand::Rng::with_seed(entries as u64);
    let mut loads = vec![PriorityLoad::default(); entries];
    let mut busy: Vec<Vec<Millis>> = vec![Vec::new(); engines];
    let mut counts = [Count::default(); 3];
    let capacity = engines as u64 * u64::from(SLOTS) * 1000 / WORK.0;
    let mut due = 0;
    let mut now = Millis::ZERO;
    while now < TIME {
        due += capacity * load / 100;
        while due >= 1000 {
            due -= 1000;
            let draw = rng.u64(0..100);
            let priority = if draw < mix[0] {
                0
            } else if draw < mix[0] + mix[1] {
                1
            } else {
                2
            };
            let entry = &mut loads[rng.usize(0..entries)];
            for flights in &mut busy {
                flights.retain(|end| *end > now);
            }
            let kept = if reserves {
                entry.reserve(priority, SLOTS, now)
            } else {
                0
            };
            let engine = (0..engines)
                .min_by_key(|i| busy[*i].len())
                .expect("engines");
            let begun = (busy[engine].len() as u32) < SLOTS - kept;
            if begun {
                busy[engine].push(now + Millis(rng.u64(WORK.0 / 2..WORK.0 * 3 / 2)));
            }
            entry.record(priority, begun, now);
            if now >= SETTLING {
                let count = &mut counts[usize::from(priority)];
                count.offered += 1;
                count.begun += u32::from(begun);
            }
        }
        now += Millis(1);
    }
    counts
}

/// Load pattern: 1.35 and 2.2 times the capacity in three priorities. Guards against the most urgent requests that lose
/// as many as the others, and against the least urgent ones that are shut out.
#[test]
fn urgent_requests_begin() {
    for (entries, engines) in [(1, 2), (9, 11), (48, 34), (410, 300)] {
        for load in [135, 220] {
            let alike = play(entries, engines, load, MIX, false);
            let kept = play(entries, engines, load, MIX, true);
            let shares = |counts: [Count; 3]| counts.map(|c| (c.share() * 100.0) as u32);
            println!(
                "{entries} entries, load {load}: {:?} alike, {:?} with reserves",
                shares(alike),
                shares(kept)
            );
            assert!(
                kept[0].share() >= URGENT_MIN,
                "{entries} entries, load {load}: {kept:?}"
            );
            let all = Count {
                offered: kept.iter().map(|c| c.offered).sum(),
                begun: kept.iter().map(|c| c.begun).sum(),
            };
            let floor = all.share() / 4.0;
            assert!(
                kept[2].share() > floor,
                "{entries} entries, load {load}: {kept:?}"
            );
            let used = |counts: [Count; 3]| counts.iter().map(|c| c.begun).sum::<u32>();
            assert!(
                used(kept) * 100 >= used(alike) * 85,
                "{entries} entries, load {load}: {kept:?}, {alike:?} alike"
            );
        }
    }
}

/// Load pattern: as much as the engines can begin most of the time. Guards against slots that are kept free in calm.
#[test]
fn calm_keeps_nothing_free() {
    let counts = play(9, 11, 70, MIX, true);
    for count in counts {
        assert!(count.share() > 0.99, "{counts:?}");
    }
}

/// Guards against reserves where all requests have the same priority, whatever it is.
#[test]
fn one_priority_keeps_nothing_free() {
    for priority in 0..3 {
        let mut mix = [0; 3];
        mix[priority] = 100;
        let alike = play(9, 11, 220, mix, false);
        let kept = play(9, 11, 220, mix, true);
        assert_eq!(kept[priority].begun, alike[priority].begun);
    }
}
