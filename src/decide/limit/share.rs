//! Shares of a workspace's limits.

use crate::base::{HashMap, Millis, ProcessName};

/// Requests at once and requests a second, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in progress at once.
    pub concurrency: u32,
    /// Thousandths of requests a second.
    pub rate: u64,
}

/// A granted share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    share: Share,
    until: Millis,
}

/// The share that an entry uses.
#[derive(Clone, Debug, Default)]
pub struct ShareHolder {
    grant: Option<Grant>,
}

impl ShareHolder {
    /// Takes over a grant.
    pub fn set_grant(&mut self, share: Share, until: Millis) {
        self.grant = Some(Grant { share, until });
    }

    /// Returns the share in force: the grant, or else an equal share of the limit.
    pub fn share(&self, now: Millis, limit: Share, entries: u32) -> Share {
        match self.grant {
            // A limit that was lowered since binds at once.
            Some(g) if now < g.until => Share {
                concurrency: g.share.concurrency.min(limit.concurrency),
                rate: g.share.rate.min(limit.rate),
            },
            _ => Share {
                concurrency: limit.concurrency.div_ceil(entries.max(1)),
                rate: limit.rate.div_ceil(u64::from(entries.max(1))),
            },
        }
    }
}

/// Demand and grant of one entry.
#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: Share,
    grant: Grant,
}

/// The coordinator's view of one workspace.
///
/// The sum of valid grants never exceeds the limit that was in force when they were given.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    claims: HashMap<ProcessName, Claim>,
}

impl SharePool {
    /// Answers an entry that reports its demand.
    ///
    /// A share that others have to give up first becomes free with their own next report, or when their grant ends.
    /// What nobody wants is split over all `entries`, also those that have not reported yet: otherwise the first one
    /// would hold the whole limit, and the next ones would refuse requests until it reports again.
    pub fn grant(
        &mut self,
        now: Millis,
        name: &ProcessName,
        demand: Share,
        limit: Share,
        lifetime: Millis,
        entries: u32,
    ) -> Share {
        self.claims.retain(|_, c| c.grant.until > now);
        let held = |f: fn(&Share) -> u64| -> u64 {
            let others = self.claims.iter().filter(|(n, _)| *n != name);
            others.map(|(_, c)| f(&c.grant.share)).sum()
        };
        let wanted = |f: fn(&Share) -> u64| -> Vec<u64> {
            let others = self.claims.iter().filter(|(n, _)| *n != name);
            others.map(|(_, c)| f(&c.demand)).collect()
        };
        let part = |limit: u64, f: fn(&Share) -> u64| {
            let target = max_min(limit, f(&demand), wanted(f), entries);
            target.min(limit.saturating_sub(held(f)))
        };
        let share = Share {
            concurrency: part(u64::from(limit.concurrency), |s| u64::from(s.concurrency)) as u32,
            rate: part(limit.rate, |s| s.rate),
        };
        let grant = Grant {
            share,
            until: now + lifetime,
        };
        self.claims.insert(name.clone(), Claim { demand, grant });
        share
    }

    /// Returns whether no grant is valid.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.claims.values().all(|c| c.grant.until <= now)
    }
}

/// Returns the max-min fair part of one claimant among others, with what nobody wants split evenly
/// over all entries.
fn max_min(limit: u64, own: u64, mut others: Vec<u64>, entries: u32) -> u64 {
    others.push(own);
    others.sort_unstable();
    let mut left = limit;
    let count = others.len() as u64;
    for (i, want) in others.iter().enumerate() {
        let level = left / (count - i as u64);
        if *want >= level {
            // From here on nobody gets all that it wants.
            return own.min(level);
        }
        left -= want;
    }
    own + left / count.max(entries.into())
}
