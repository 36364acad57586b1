//! Retries: the budget under a retry storm, and what follows each failure of an attempt.

mod entry_support;

use entry_support::{outcome, World};
use sesamewing::{
    base::{Millis, Percent},
    decide::retry::{
        decide as decide_retry, AttemptFailure, Progress, RetryBudget, RetryDecision, RetryDraw,
        BURST_TOKENS,
    },
    wire::{NotRun, Reply, RunOutcome},
};

/// Guards against retries that multiply a failure of all agents into an overload.
#[test]
fn budget_holds_under_a_storm() {
    let (share, requests) = (Percent(10), 10_000_u32);
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..requests {
        budget.record_request(share);
        retries += (0..5).filter(|_| budget.try_take(share)).count() as u32;
    }
    assert!(retries <= requests / 10 + BURST_TOKENS, "{retries}");
    assert!(retries >= requests / 10, "{retries}");
}

/// Guards against a time without failures that saves up more than a burst of retries.
#[test]
fn quiet_time_saves_only_a_burst() {
    let mut budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.record_request(Percent(10)));
    assert_eq!(
        (0..1000).filter(|_| budget.try_take(Percent(10))).count(),
        BURST_TOKENS as usize
    );
    assert!(
        !RetryBudget::default().try_take(Percent(0)),
        "a share of 0% forbids retries"
    );
}

/// Load pattern: all requests of a service fail at all entries. Guards against parts of a shared burst that are rounded up,
/// so that the retries of many entries exceed the bound over all of them, and against no retries at all.
#[test]
fn shared_bursts_are_not_rounded_up() {
    let (share, burst) = (Percent(20), 254);
    for processes in [1, 9, 48, 410] {
        for requests in [1, 3, 10, 40] {
            let mut budgets = vec![RetryBudget::shared(burst, processes); processes as usize];
            let mut retries = 0;
            for _ in 0..requests {
                for budget in &mut budgets {
                    budget.record_request(share);
                    retries += u32::from(budget.try_take(share));
                }
            }
            let allowed = processes * requests / 5 + burst;
            let what = format!("{processes} processes, {requests} requests each");
            assert!(retries <= allowed, "{what}: {retries}, {allowed} allowed");
            assert!(retries >= processes * requests / 10, "{what}: {retries}");
        }
    }
}

/// Guards against a retry that is allowed because it asks often, where the part of a shared burst is less than a token.
#[test]
fn asking_again_does_not_raise_the_chance() {
    let (share, runs) = (Percent(20), 2000);
    let full = RetryBudget::shared(4, 8);
    let taken = (0..runs).filter(|_| {
        let (mut budget, draw) = (full.clone(), RetryDraw::random());
        (0..50).any(|_| budget.allows(share, draw) && budget.try_take_drawn(share, draw))
    });
    // The part is a quarter of a token.
    let taken = taken.count();
    assert!(taken > runs / 6 && taken < runs / 3, "{taken} of {runs}");
}

/// Guards against a retry of a non-repeatable request that may have run, and against a second start of a response that
/// was delivered in part.
#[test]
fn each_failure_has_its_decision() {
    let decide = |repeatable, delivered, failure| {
        let progress = Progress {
            repeatable,
            attempts: 1,
            allowed: 3,
            delivered,
        };
        decide_retry(&progress, failure, &mut RetryBudget::default(), Percent(10))
    };
    let retry = |advance| RetryDecision::Retry { advance };
    let cases = [
        (true, 0, AttemptFailure::Lost, retry(false)),
        (true, 0, AttemptFailure::Corrupt, retry(false)),
        (true, 5, AttemptFailure::Lost, RetryDecision::Resume),
        (
            true,
            5,
            AttemptFailure::NotRun(NotRun::Leaving),
            RetryDecision::Resume,
        ),
        // The delivered text may be wrong; a continuation would turn it into a complete but wrong response.
        (true, 5, AttemptFailure::Corrupt, RetryDecision::Stop),
        (true, 0, AttemptFailure::Deadline, RetryDecision::Stop),
        (false, 0, AttemptFailure::Lost, RetryDecision::Settle),
        (false, 0, AttemptFailure::Corrupt, RetryDecision::Settle),
        (false, 0, AttemptFailure::Unsent, retry(false)),
        (false, 0, AttemptFailure::NotRun(NotRun::Log), retry(false)),
        (false, 0, AttemptFailure::NotRun(NotRun::Void), retry(true)),
        (
            false,
            0,
            AttemptFailure::NotRun(NotRun::Digest),
            RetryDecision::Stop,
        ),
        (
            false,
            0,
            AttemptFailure::NotRun(NotRun::Expired),
            RetryDecision::Stop,
        ),
        (false, 0, AttemptFailure::InProgress, RetryDecision::Stop),
        (false, 0, AttemptFailure::Deadline, RetryDecision::Stop),
    ];
    for (repeatable, delivered, failure, want) in cases {
        assert_eq!(
            decide(repeatable, delivered, failure),
            want,
            "{repeatable} {delivered} {failure:?}"
        );
    }
}

/// Guards against a retry storm through a whole entry, and against a wrong outcome for requests that never ran.
#[tokio::test(flavor = "multi_thread")]
async fn retry_storm_at_an_entry_is_bounded() {
    let world = World::model(4).await;
    world.agents.iter().for_each(|a| a.refuse(NotRun::Busy));
    let requests = 200;
    for _ in 0..requests {
        let (status, body) = outcome(world.completion(false).send().await.unwrap()).await;
        assert_eq!((status, &body["outcome"]), (503, &"not_run".into()));
    }
    let extra = world.runs() - requests;
    assert!(
        extra <= requests / 10 + BURST_TOKENS as usize,
        "{extra} retries"
    );
    assert_eq!(world.metric("sesamewing_retries_total"), extra as u64);
}

/// Guards against a second attempt on the agent that just failed while there are untried ones.
#[tokio::test(flavor = "multi_thread")]
async fn retry_uses_another_agent() {
    let world = World::model(3).await;
    world.agents.iter().for_each(|a| a.frames(|_| Vec::new()));
    let (status, _) = outcome(world.completion(false).send().await.unwrap()).await;
    assert_eq!(
        status, 504,
        "each agent received the request, so it may have run"
    );
    let runs: Vec<_> = world.agents.iter().map(|a| a.runs().len()).collect();
    assert_eq!(runs, [1, 1, 1]);
}

/// Guards against "not run" for a request whose earlier attempt was lost, when the last agent rejects it.
#[tokio::test(flavor = "multi_thread")]
async fn earlier_lost_attempt_decides_the_outcome() {
    let world = World::model(2).await;
    let all = world.agents.clone();
    for agent in &world.agents {
        let all = all.clone();
        agent.frames(move |req| {
            // The first attempt ends without a response, the second one is rejected.
            if all.iter().map(|a| a.runs().len()).sum::<usize>() == 1 {
                return Vec::new();
            }
            vec![Reply::Failed {
                id: req.id,
                outcome: RunOutcome::NotRun(NotRun::Busy),
                retry: Millis(200),
            }]
        });
    }
    let (status, body) = outcome(world.completion(false).send().await.unwrap()).await;
    assert_eq!((status, &body["outcome"]), (504, &"may_have_run".into()));
    assert_eq!(world.runs(), 2);
}
