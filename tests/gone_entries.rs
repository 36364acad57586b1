//! Directory responses of a fleet of which entries end, are held up and start: none names an entry long after its end.

mod gateway_support;

use std::{collections::VecDeque, net::SocketAddr};

use gateway_support::heartbeat;
use sesamewing::{
    base::Millis,
    decide::residency::EntryScope,
    gateway::{CatalogVersion, Heartbeat, Membership, Status},
};

const STEP: Millis = Millis(50);
const GOSSIP: Millis = Millis(250);
const END: Millis = Millis(32_000);

/// Time after the end of an entry from which no response may name it.
const GONE: Millis = Millis(7000);

/// Longest delay of a datagram.
const DELAY: u64 = 400;

/// Entries after whose number the records of entries that ended long ago follow.
const LONG_GONE: u8 = 3;

fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 1))
}

/// Returns the number of the entry with an address.
fn index(addr: &SocketAddr) -> Option<usize> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let [_, _, high, low] = addr.ip().octets();
    Some(usize::from(high) << 8 | usize::from(low))
}

fn status() -> Status {
    Status {
        ready: true,
        catalog: CatalogVersion(1),
        ..Status::default()
    }
}

/// What a host's entry does at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    Runs,
    /// Ends at a time, for good.
    Ends(Millis),
    /// Starts at a time.
    Starts(Millis),
    /// Is held up between two times.
    Held(Millis, Millis),
}

struct Entry {
    plan: Plan,
    members: Membership,
    next_gossip: Millis,
    started: bool,
    /// Datagrams in the socket, each with its arrival.
    inbox: VecDeque<(Millis, Vec<Heartbeat>)>,
}

impl Entry {
    fn new(i: usize, plan: Plan) -> Self {
        let zone = format!("z{}", i % 3);
        Self {
            plan,
            members: Membership::new(heartbeat(peer(i), &zone, 0, status())),
            next_gossip: Millis(fastrand::u64(..GOSSIP.0)),
            started: !matches!(plan, Plan::Starts(_)),
            inbox: VecDeque::new(),
        }
    }

    /// Returns whether the host receives datagrams.
    fn exists(&self, now: Millis) -> bool {
        match self.plan {
            Plan::Runs | Plan::Held(..) => true,
            Plan::Ends(at) => now < at,
            Plan::Starts(at) => now >= at,
        }
    }

    fn acts(&self, now: Millis) -> bool {
        let held = matches!(self.plan, Plan::Held(from, to) if from <= now && now < to);
        self.exists(now) && !held
    }

    /// Reads the announcements in the store: those of all entries, the ones that ended among them.
    fn read_store(&mut self, count: usize, now: Millis) {
        for i in 0..count + usize::from(LONG_GONE) {
            let zone = format!("z{}", i % 3);
            self.members
                .announce(heartbeat(peer(i), &zone, 0, status()), now);
        }
    }

    fn read_inbox(&mut self, now: Millis) {
        while let Some((arrived, _)) = self.inbox.front() {
            if *arrived > now {
                return;
            }
            let Some((arrived, heartbeats)) = self.inbox.pop_front() else {
                return;
            };
            let sender = heartbeats.first().map(|h| h.peer);
            for h in heartbeats {
                self.members.merge_waited(h, None, now - arrived, now);
            }
            if let Some(sender) = sender {
                self.members.note_sender(sender, now);
            }
        }
    }
}

/// Draws what the entries do: every eighth ends, every eighth is held up, over the same time, and every eighth starts.
fn draw(i: usize, count: usize) -> Plan {
    let at = Millis(5000 + fastrand::u64(..6000));
    match i % 8 {
        1 => Plan::Ends(at),
        2 => Plan::Held(at, at + Millis(500 + fastrand::u64(..12_000))),
        3 if count > 4 => Plan::Starts(at + Millis(2000)),
        _ => Plan::Runs,
    }
}

/// Counts the responses that name an entry which is long gone, and those that name too few.
fn play(count: usize, seed: u64) -> (usize, usize) {
    fastrand::seed(seed);
    let mut entries: Vec<_> = (0..count).map(|i| Entry::new(i, draw(i, count))).collect();
    let (mut gone, mut few) = (0, 0);
    let mut now = Millis::ZERO;
    for e in entries.iter_mut().filter(|e| e.started) {
        e.read_store(count, now);
    }
    while now < END {
        let mut sent = Vec::new();
        for e in entries.iter_mut().filter(|e| e.acts(now)) {
            if !e.started {
                e.started = true;
                e.read_store(count, now);
            }
            e.read_inbox(now);
            if e.next_gossip <= now {
                e.next_gossip = now + GOSSIP;
                let heartbeats = e.members.next_heartbeats(status(), now);
                let targets = e.members.gossip_targets(now);
                sent.extend(targets.into_iter().map(|to| (to, heartbeats.clone())));
            }
        }
        for (to, heartbeats) in sent {
            let Some(e) = index(&to).and_then(|i| entries.get_mut(i)) else {
                continue;
            };
            if e.exists(now) {
                let at = now + Millis(fastrand::u64(..DELAY));
                let place = e.inbox.partition_point(|d| d.0 <= at);
                e.inbox.insert(place, (at, heartbeats));
            }
        }
        for e in entries.iter().filter(|e| e.acts(now)) {
            let scope = EntryScope::default();
            let named = e.members.addresses_within("z9", &scope, usize::MAX, now);
            let long_gone = |a: &SocketAddr| {
                let known = index(a).filter(|i| *i < count);
                known.is_none_or(|i| match entries[i].plan {
                    Plan::Ends(at) => now > at + GONE,
                    Plan::Starts(at) => now < at,
                    _ => false,
                })
            };
            gone += usize::from(named.iter().any(long_gone));
            let settled = now > Millis(3000) && e.plan == Plan::Runs;
            few += usize::from(settled && named.len() < count / 2);
        }
        now += STEP;
    }
    (gone, few)
}

/// Load: fleets of four sizes. Guards against responses that name an entry more than 7 s after its end, by an entry that
/// was held up or that starts, and against responses that leave out entries which run.
#[test]
fn gone_entries_are_not_named() {
    for (count, seeds) in [(1, 1), (9, 12), (48, 4), (410, 1)] {
        for seed in 0..seeds {
            let (gone, few) = play(count, seed);
            assert_eq!(gone, 0, "{count} entries, seed {seed}");
            assert_eq!(few, 0, "{count} entries, seed {seed}");
        }
    }
}
