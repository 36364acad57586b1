//! Planned stops of entries whose grace period is short.

use sesamewing::{base::Millis, decide::stop::StopPlan};

const START: Millis = Millis(1_000_000);

/// Guards against a process that ends with most of a short grace period's margin unused: what endpoints still work on
/// then is lost, unless it is in the last sixth of the period.
#[test]
fn exit_is_in_the_last_sixth_of_the_grace_period() {
    for grace in [1, 2, 3, 8, 60].map(Millis::from_secs) {
        let plan = StopPlan::new(grace, START);
        let exit = plan.exit() - START;
        assert!(exit < grace, "{exit} of {grace}");
        assert!(exit.times(6) >= grace.times(5), "{exit} of {grace}");
        let answer = plan.answer() - START;
        assert!(answer.times(6) >= grace.times(5), "{answer} of {grace}");
    }
}
