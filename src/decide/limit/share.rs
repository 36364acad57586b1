//! Shares of a workspace's limits, which a coordinator grants to the entries of a region.

use crate::base::{HashMap, Millis, ProcessName};

/// Limit or demand of a workspace: concurrent requests and request rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Number of requests in progress at once.
    pub concurrency: u32,
    /// Request rate, in thousandths of a request per second.
    pub rate: u64,
}

/// A share and the time at which the grant ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    share: Share,
    until: Millis,
}

/// An entry's share of a workspace's limits.
#[derive(Clone, Debug, Default)]
pub struct ShareHolder {
    grant: Option<Grant>,
}

impl ShareHolder {
    /// Sets the grant, which is valid until the given time.
    pub fn set_grant(&mut self, share: Share, until: Millis) {
        self.grant = Some(Grant { share, until });
    }

    /// Returns the share in force: the grant while it is valid, otherwise an equal share of the limit for each entry.
    pub fn share(&self, now: Millis, limit: Share, entries: u32) -> Share {
        match self.grant {
            // A limit that was lowered after the grant applies at once.
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
struct EntryDemand {
    demand: Share,
    grant: Grant,
}

/// The coordinator's view of one workspace.
///
/// The sum of valid grants never exceeds the limit that was in force when they were given.
#[derive(Clone, Debug, Default)]
pub struct SharePool {
    demands: HashMap<ProcessName, EntryDemand>,
}

impl SharePool {
    /// Grants a share for `lifetime` to an entry that reports its demand.
    ///
    /// A share that other entries have to give up first becomes available with their own next report, or when their
    /// grant ends. What no entry demands is split over all `entries`, including those that have not reported yet:
    /// otherwise the first one would hold the whole limit, and the next ones would reject requests until it reports
    /// again.
    pub fn grant(
        &mut self,
        now: Millis,
        name: &ProcessName,
        demand: Share,
        limit: Share,
        lifetime: Millis,
        entries: u32,
    ) -> Share {
        self.demands.retain(|_, c| c.grant.until > now);
        let held = |f: fn(&Share) -> u64| -> u64 {
            let others = self.demands.iter().filter(|(n, _)| *n != name);
            others.map(|(_, c)| f(&c.grant.share)).sum()
        };
        let demanded = |f: fn(&Share) -> u64| -> Vec<u64> {
            let others = self.demands.iter().filter(|(n, _)| *n != name);
            others.map(|(_, c)| f(&c.demand)).collect()
        };
        let part = |limit: u64, f: fn(&Share) -> u64| {
            let target = max_min_share(limit, f(&demand), demanded(f), entries);
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
        self.demands
            .insert(name.clone(), EntryDemand { demand, grant });
        share
    }

    /// Returns whether no grant is valid.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.demands.values().all(|c| c.grant.until <= now)
    }
}

/// Returns the max-min fair share of one entry, given the demand of the others; what no entry demands is split evenly
/// over all entries.
fn max_min_share(limit: u64, own: u64, mut others: Vec<u64>, entries: u32) -> u64 {
    others.push(own);
    others.sort_unstable();
    let mut left = limit;
    let count = others.len() as u64;
    for (i, demand) in others.iter().enumerate() {
        let level = left / (count - i as u64);
        if *demand >= level {
            // From this demand on, each entry gets `level`.
            return own.min(level);
        }
        left -= demand;
    }
    own + left / count.max(entries.into())
}
