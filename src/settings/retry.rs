//! Retries inside the system.

use linkme::distributed_slice;

use super::{section::section, Check, Subject, CHECKS};
use crate::base::Percent;

section! {
    /// Retry limits of a service.
    Retry = "retry" {
        "Retries as a share of requests."
        budget: Percent = "10%", "0%", "100%", Service;
        "Attempts for each request, the first included."
        attempts: u32 = "3", "1", "10", Service;
    }
}

#[distributed_slice(CHECKS)]
static BUDGET: Check = Check {
    rule: "`retry.attempts` above 1 needs a `retry.budget` above 0%",
    options: &["retry.attempts", "retry.budget"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        let (attempts, budget) = (s.retry.attempts, s.retry.budget);
        (attempts > 1 && budget == Percent(0)).then(|| {
            format!("`retry.budget` 0% allows none of the {attempts} attempts of `retry.attempts`; set the latter to 1 or raise the former")
        })
    },
};
