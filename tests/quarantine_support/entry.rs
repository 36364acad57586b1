//! One entry of the model.

use std::net::SocketAddr;

use sesamewing::{
    base::Millis,
    decide::quarantine::{PartReport, Quarantine},
    gateway::{Heartbeat, Membership, Status},
};

pub fn peer(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 1))
}

pub fn status() -> Status {
    Status {
        ready: true,
        ..Status::default()
    }
}

/// One entry of the model.
pub struct Entry {
    pub members: Membership,
    pub quarantine: Quarantine,
    /// Time at which it last sent news.
    pub told: Millis,
    /// Time until which its process stands still.
    pub frozen: Millis,
    /// Reports that arrived while it stood still.
    pub inbox: Vec<PartReport>,
    /// Part of a partitioned network in which the entry is.
    pub side: usize,
}

impl Entry {
    pub fn new(i: usize, boot: u64, now: Millis) -> Self {
        let me = Heartbeat {
            peer: peer(i),
            callers: peer(i),
            zone: format!("z{}", i % 4).parse().expect("a valid name"),
            boot,
            count: 0,
            status: status(),
        };
        let mut members = Membership::new(me);
        members.next_heartbeats(status(), now);
        Self {
            members,
            quarantine: Quarantine::new(now),
            told: Millis::ZERO,
            frozen: Millis::ZERO,
            inbox: Vec::new(),
            side: 0,
        }
    }
}
