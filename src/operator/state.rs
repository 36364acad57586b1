//! The agreed state as read from the log by a command.

use super::OperatorError;
use crate::{
    base::{Millis, Offset},
    kernel::{Config, Kernel, Refusal},
    platform::{HttpPlatform, Log, Stream},
    process::CLAIM_WINDOW,
};

/// Records in one read.
const READ_MAX: usize = 512;

/// The state at the end of the log.
#[derive(Debug)]
pub(super) struct State {
    /// State after the last record.
    pub(super) kernel: Kernel,
    /// Settings tree as it was at the offset that was asked for.
    pub(super) base: Config,
}

/// Returns the offset of the last record of the control stream.
pub(super) async fn head(platform: &HttpPlatform) -> Result<Offset, OperatorError> {
    let page = platform
        .read(Stream::Control, Offset(1), 1, Millis::ZERO)
        .await?;
    Ok(Offset(page.next.0.saturating_sub(1)))
}

/// Applies the whole log and keeps the settings tree as it was at `base`, by default at the end.
///
/// # Errors
///
/// Returns an error if the log cannot be reached, has lost its first records, or needs a newer program.
pub(super) async fn load(
    platform: &HttpPlatform,
    base: Option<Offset>,
) -> Result<State, OperatorError> {
    let mut kernel = Kernel::new(CLAIM_WINDOW);
    let mut kept = (base == Some(Offset(0))).then(Config::default);
    loop {
        let from = kernel.applied().next();
        let page = platform
            .read(Stream::Control, from, READ_MAX, Millis::ZERO)
            .await?;
        if page.first > from {
            return Err(OperatorError::Refused(format!(
                "the log starts at offset {}, records from {from} on are needed; ask a running process with \
                 `sesamewing status` and use a program that reads snapshots",
                page.first
            )));
        }
        for entry in &page.records {
            match kernel.apply(entry) {
                Ok(_) | Err(Refusal::Old { .. }) => {}
                Err(e) => return Err(OperatorError::Refused(e.to_string())),
            }
            if Some(kernel.applied()) == base {
                kept = Some(kernel.config().clone());
            }
        }
        if kernel.applied().next() >= page.next {
            break;
        }
        if page.records.is_empty() {
            return Err(OperatorError::Unreachable(format!(
                "the log ends at offset {} but returned no records from {from} on; check the platform",
                page.next
            )));
        }
    }
    match (kept, base) {
        (Some(base), _) => Ok(State { kernel, base }),
        (None, None) => {
            let base = kernel.config().clone();
            Ok(State { kernel, base })
        }
        (None, Some(base)) => Err(OperatorError::Refused(format!(
            "the file has revision {base}, the log ends at {}; pull the file from this deployment again",
            kernel.applied()
        ))),
    }
}
