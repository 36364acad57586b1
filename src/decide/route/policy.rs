//! Routing policies.
//!
//! Each policy registers itself in [`POLICIES`]; a table holds its function, so that a request calls it directly.

use linkme::distributed_slice;

use super::table::{RouteQuery, Target};
use crate::settings::Policy;

/// All policies.
#[distributed_slice]
pub static POLICIES: [PolicySpec];

/// Chooses among at least two agents; the last argument is [`Route::slack`](crate::settings::Route::slack).
pub type Chooser = for<'t> fn(&[&'t Target], &RouteQuery<'_>, u32) -> Option<&'t Target>;

/// One policy.
#[derive(Clone, Copy, Debug)]
pub struct PolicySpec {
    /// Name in the settings.
    pub policy: Policy,
    /// Function.
    pub choose: Chooser,
}

/// Returns the function of a policy.
pub fn chooser(policy: Policy) -> Chooser {
    POLICIES
        .iter()
        .find(|p| p.policy == policy)
        .map_or(choices, |p| p.choose)
}

#[distributed_slice(POLICIES)]
static AFFINITY: PolicySpec = PolicySpec {
    policy: Policy::Affinity,
    choose: affinity,
};

#[distributed_slice(POLICIES)]
static CHOICES: PolicySpec = PolicySpec {
    policy: Policy::Choices,
    choose: choices,
};

#[distributed_slice(POLICIES)]
static RANDOM: PolicySpec = PolicySpec {
    policy: Policy::Random,
    choose: random,
};

#[distributed_slice(POLICIES)]
static REPORTED: PolicySpec = PolicySpec {
    policy: Policy::Reported,
    choose: reported,
};

/// Mixes a number (the finaliser of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Any agent.
fn random<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    pool.get(mix(q.random) as usize % pool.len()).copied()
}

/// The least reported load, without this entry's own requests since.
fn reported<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    let start = mix(q.random) as usize % pool.len();
    let (behind, ahead) = pool.split_at(start);
    ahead
        .iter()
        .chain(behind)
        .min_by_key(|t| u64::from(t.view.reported()) * 1000 / u64::from(t.capacity.max(1)))
        .copied()
}

/// The less loaded of two random agents.
fn choices<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    let n = pool.len();
    let draw = mix(q.random);
    let a = (draw >> 32) as usize % n;
    let b = (a + 1 + draw as u32 as usize % (n - 1).max(1)) % n;
    let (a, b) = (pool[a], pool[b]);
    Some(if b.share() < a.share() { b } else { a })
}

/// The agent that probably has the prefix cached, unless its load is too far above the mean.
///
/// Agents that reported the prefix come first; without reports the rendezvous hash of the prefix decides, so that
/// requests with the same beginning meet at the same agents from every entry.
fn affinity<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, slack: u32) -> Option<&'t Target> {
    let Some(prefix) = q.prefix else {
        return choices(pool, q, slack);
    };
    let load: u64 = pool.iter().map(|t| u64::from(t.load())).sum::<u64>() + 1;
    let capacity: u64 = pool.iter().map(|t| u64::from(t.capacity.max(1))).sum();
    let bound = load * 1000 * u64::from(100 + slack) / (capacity * 100);
    // One request is always within the bound, however small the mean is. A cached prefix saves less than a wait at
    // the endpoint costs, so an agent without free capacity is not preferred.
    let within = |t: &Target| t.load() == 0 || t.share() <= bound.min(1000);
    let score = |t: &Target| (!t.holds(prefix), mix(t.seed ^ prefix));
    pool.iter()
        .copied()
        .filter(|t| within(t))
        .min_by_key(|t| score(t))
        .or_else(|| choices(pool, q, slack))
}
