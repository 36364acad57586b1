//! Which agents an entry watches and considers alive.

use sesamewing::{
    base::{Instance, Millis, Offset, ProcessName, Service},
    decide::member::{
        Action, Membership, PeerState, WatchPolicy, GONE_AFTER, SUSPECT_AFTER, UNREADY_AFTER,
    },
    wire::{AgentReport, AgentState, HostEntry, HostState, Hosts, Role},
};

const T0: Millis = Millis(1_000_000);

fn name(i: usize) -> ProcessName {
    format!("agent-{i}").parse().unwrap()
}

fn host(i: usize, zone: &str, state: HostState) -> HostEntry {
    let peer = format!("127.0.0.1:{}", 10_000 + i).parse().unwrap();
    HostEntry {
        name: name(i),
        role: Role::Agent,
        region: zone[..4].parse().unwrap(),
        zone: zone.parse().unwrap(),
        peer,
        operator: peer,
        callers: None,
        service: Some("drafts".parse().unwrap()),
        state,
    }
}

/// Returns hosts in three zones, `n` in each: the entry's own zone, another zone of its region, and another region.
fn hosts(n: usize) -> Hosts {
    let zones = ["east-a", "east-b", "west-a"];
    let hosts = (0..3 * n)
        .map(|i| host(i, zones[i / n], HostState::Live))
        .collect();
    Hosts { hosts }
}

fn report(i: usize, run: u64, sequence: u64, state: AgentState) -> AgentReport {
    AgentReport {
        name: name(i),
        instance: Instance(run),
        sequence,
        service: "drafts".parse().unwrap(),
        state,
        version: Some("v1".parse().unwrap()),
        applied: Offset(1),
        running: 0,
        waiting: 0,
        capacity: 8,
        speed: 0,
        prefixes: Vec::new(),
    }
}

fn policy(subset: usize) -> impl Fn(&Service) -> Option<WatchPolicy> {
    move |_| {
        Some(WatchPolicy {
            subset,
            cross_region: true,
            version: Some("v1".parse().unwrap()),
        })
    }
}

fn members(hosts: &Hosts) -> Membership {
    let mut m = Membership::new(
        "entry-1".parse().unwrap(),
        "east".parse().unwrap(),
        "east-a".parse().unwrap(),
    );
    m.apply_hosts(T0, hosts);
    m
}

fn watched(m: &Membership) -> Vec<ProcessName> {
    m.peers()
        .filter(|p| p.watched)
        .map(|p| p.host.name.clone())
        .collect()
}

fn state(m: &Membership, i: usize) -> PeerState {
    m.get(&name(i)).unwrap().state
}

/// Guards against requests to agents whose reports stopped, and against a recovered agent that gets none.
#[test]
fn missing_reports_lead_to_suspect_and_gone() {
    let mut m = members(&hosts(1));
    m.tick(T0, policy(8));
    assert_eq!(state(&m, 0), PeerState::Joining);
    assert!(m.apply_report(T0, report(0, 1, 1, AgentState::Serving)));
    assert!(m.get(&name(0)).unwrap().accepts_requests());
    m.tick(T0 + SUSPECT_AFTER, policy(8));
    assert_eq!(state(&m, 0), PeerState::Suspect);
    assert!(!m.get(&name(0)).unwrap().accepts_requests());
    m.tick(T0 + GONE_AFTER, policy(8));
    assert_eq!(state(&m, 0), PeerState::Gone);
    assert!(m.apply_report(T0 + GONE_AFTER, report(0, 1, 2, AgentState::Serving)));
    assert_eq!(state(&m, 0), PeerState::Alive);
}

/// Guards against a leaving agent that a later or reordered report makes alive again.
#[test]
fn leaving_is_final_for_a_run() {
    let mut m = members(&hosts(1));
    m.tick(T0, policy(8));
    m.apply_report(T0, report(0, 1, 1, AgentState::Serving));
    m.apply_report(T0, report(0, 1, 3, AgentState::Leaving));
    assert!(
        !m.apply_report(T0, report(0, 1, 2, AgentState::Serving)),
        "older report"
    );
    m.apply_report(T0, report(0, 1, 4, AgentState::Serving));
    assert_eq!(state(&m, 0), PeerState::Leaving);
    // The host list still shows the agent as live.
    m.apply_hosts(T0, &hosts(1));
    m.tick(T0, policy(8));
    assert_eq!(state(&m, 0), PeerState::Leaving);
    m.apply_report(T0, report(0, 2, 1, AgentState::Serving));
    assert_eq!(
        state(&m, 0),
        PeerState::Alive,
        "a later run is another agent"
    );
    assert!(
        !m.apply_report(T0, report(0, 1, 9, AgentState::Leaving)),
        "late report of the earlier run"
    );
    assert_eq!(state(&m, 0), PeerState::Alive);
}

/// Guards against a stale or empty host list that takes serving agents out, and against removed agents that stay.
#[test]
fn direct_reports_override_the_host_list() {
    let mut m = members(&hosts(1));
    m.tick(T0, policy(8));
    m.apply_report(T0, report(0, 1, 1, AgentState::Serving));
    let leaving = Hosts {
        hosts: vec![host(0, "east-a", HostState::Leaving)],
    };
    m.apply_hosts(T0, &leaving);
    assert_eq!(state(&m, 0), PeerState::Alive);
    m.apply_hosts(T0, &Hosts::default());
    assert!(m.get(&name(0)).unwrap().accepts_requests());
    assert!(m.get(&name(1)).is_none(), "a removed agent without reports");
    m.tick(T0 + SUSPECT_AFTER, policy(8));
    m.apply_hosts(T0 + SUSPECT_AFTER, &Hosts::default());
    assert!(m.get(&name(0)).is_none());
}

/// Guards against a subset that ignores zones, exceeds its bound or changes by more than one agent when one host
/// changes.
#[test]
fn subset_is_bounded_near_and_stable() {
    let all = hosts(40);
    let mut m = members(&all);
    m.tick(T0, policy(32));
    let before = watched(&m);
    assert_eq!(before.len(), 32);
    assert!(before
        .iter()
        .all(|n| m.get(n).unwrap().host.zone.as_str() == "east-a"));
    for (i, gone) in before.iter().enumerate() {
        let mut fewer = all.clone();
        fewer.hosts.retain(|h| h.name != *gone);
        let mut other = members(&fewer);
        other.tick(T0, policy(32));
        let after = watched(&other);
        let kept = before.iter().filter(|n| after.contains(n)).count();
        assert_eq!((after.len(), kept), (32, 31), "removal {i}");
    }
    let mut small = members(&hosts(20));
    small.tick(T0, policy(32));
    let near = |m: &Membership, zone: &str| {
        let zones = watched(m)
            .into_iter()
            .map(|n| m.get(&n).unwrap().host.zone.clone());
        zones.filter(|z| z.as_str() == zone).count()
    };
    assert_eq!((near(&small, "east-a"), near(&small, "east-b")), (20, 12));
}

/// Guards against entries that all watch the same agents, so that the others get no requests.
#[test]
fn subsets_of_entries_cover_all_agents() {
    let all = hosts(40);
    let mut seen: Vec<ProcessName> = Vec::new();
    for e in 0..20 {
        let own = format!("entry-{e}").parse().unwrap();
        let mut m = Membership::new(own, "east".parse().unwrap(), "east-a".parse().unwrap());
        m.apply_hosts(T0, &all);
        m.tick(T0, policy(16));
        seen.extend(watched(&m));
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 40);
}

/// Guards against an entry that cannot serve during a rollout because no agent of its subset has the desired version.
#[test]
fn agents_without_the_desired_version_are_replaced() {
    let mut m = members(&hosts(40));
    let mut now = T0;
    let has_version = |n: &ProcessName| {
        n.as_str()
            .trim_start_matches("agent-")
            .parse::<usize>()
            .unwrap()
            % 10
            == 7
    };
    // Only one host in ten has the desired version; 4 of them are in the entry's own zone.
    for _ in 0..200 {
        m.tick(now, policy(8));
        for n in watched(&m) {
            let i = n.as_str().trim_start_matches("agent-").parse().unwrap();
            let mut r = report(i, 1, now.0, AgentState::Serving);
            r.version = has_version(&n).then(|| "v1".parse().unwrap());
            m.apply_report(now, r);
        }
        now += Millis(500);
    }
    let ready = watched(&m).iter().filter(|n| has_version(n)).count();
    assert!(
        ready >= 4,
        "{ready} of {:?} after {} (unready after {UNREADY_AFTER})",
        watched(&m),
        now - T0
    );
}

/// Guards against subscriptions that are opened twice or never ended.
#[test]
fn actions_match_the_watched_set() {
    let mut m = members(&hosts(4));
    let (actions, _) = m.tick(T0, policy(4));
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Watch(..)))
            .count(),
        4
    );
    assert_eq!(m.tick(T0, policy(4)).0, []);
    let (actions, _) = m.tick(T0, policy(2));
    assert_eq!(
        actions
            .iter()
            .filter(|a| matches!(a, Action::Unwatch(_)))
            .count(),
        2
    );
    let (actions, _) = m.tick(T0, |_| None);
    assert_eq!(
        actions.len(),
        2,
        "a service that is no longer in the settings is not watched"
    );
}
