//! Routing policies.
//!
//! Each policy registers itself in [`POLICIES`]; a route table holds the policy's function and calls it directly for
//! each request.

use linkme::distributed_slice;

use super::table::{RouteQuery, Target};
use crate::settings::Policy;

/// All routing policies.
#[distributed_slice]
pub static POLICIES: [PolicySpec];

/// Chooses among at least two agents. The last argument is [`Route::slack`](crate::settings::Route::slack).
pub type Chooser = for<'t> fn(&[&'t Target], &RouteQuery<'_>, u32) -> Option<&'t Target>;

/// A routing policy and its function.
#[derive(Clone, Copy, Debug)]
pub struct PolicySpec {
    /// Policy as the settings name it.
    pub policy: Policy,
    /// Function that chooses an agent.
    pub choose: Chooser,
}

/// Returns the function of a policy; that of [`Policy::Choices`] if the policy is not registered.
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

/// Hashes a number with the finaliser of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Chooses an agent at random.
fn random<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    pool.get(mix(q.random) as usize % pool.len()).copied()
}

/// Chooses the agent with the least reported load in relation to its capacity; requests that this entry has sent since
/// the report do not count.
fn reported<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    let start = mix(q.random) as usize % pool.len();
    let (behind, ahead) = pool.split_at(start);
    ahead
        .iter()
        .chain(behind)
        .min_by_key(|t| u64::from(t.view.reported()) * 1000 / u64::from(t.capacity.max(1)))
        .copied()
}

/// Chooses the less loaded of two random agents (power of two choices).
fn choices<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, _: u32) -> Option<&'t Target> {
    let n = pool.len();
    let draw = mix(q.random);
    let a = (draw >> 32) as usize % n;
    let b = (a + 1 + draw as u32 as usize % (n - 1).max(1)) % n;
    let (a, b) = (pool[a], pool[b]);
    Some(if b.load_permille() < a.load_permille() {
        b
    } else {
        a
    })
}

/// Chooses the agent that probably has the prefix cached, unless its load is too far above the mean.
///
/// Agents that reported the prefix come first; without reports the rendezvous hash of the prefix decides, so that all
/// entries send requests with the same prefix to the same agents.
fn affinity<'t>(pool: &[&'t Target], q: &RouteQuery<'_>, slack: u32) -> Option<&'t Target> {
    let Some(prefix) = q.prefix else {
        return choices(pool, q, slack);
    };
    let load: u64 = pool.iter().map(|t| u64::from(t.load())).sum::<u64>() + 1;
    let capacity: u64 = pool.iter().map(|t| u64::from(t.capacity.max(1))).sum();
    let bound = load * 1000 * u64::from(100 + slack) / (capacity * 100);
    // An agent without requests is always within the bound, however small the mean is. A cached prefix saves less time
    // than a wait at the endpoint costs, so an agent without free capacity is not preferred.
    let within = |t: &Target| t.load() == 0 || t.load_permille() <= bound.min(1000);
    let score = |t: &Target| (!t.holds(prefix), mix(t.seed ^ prefix));
    pool.iter()
        .copied()
        .filter(|t| within(t))
        .min_by_key(|t| score(t))
        .or_else(|| choices(pool, q, slack))
}
