//! The agreed state as read from the log by a command.

use super::OperatorError;
use crate::{
    backing::{HttpPlatform, Log, Stream},
    base::{Millis, Offset},
    feed::snapshot,
    kernel::{Config, Kernel, Refusal},
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

/// Loads the state at the end of the log and the settings tree as it was at `base`, by default at the end.
///
/// If the beginning of the log is gone, the state starts from a snapshot.
///
/// # Errors
///
/// Returns an error if the log cannot be reached, has lost records that no snapshot replaces, or needs a newer program.
pub(super) async fn load(
    platform: &HttpPlatform,
    base: Option<Offset>,
) -> Result<State, OperatorError> {
    let page = platform
        .read(Stream::Control, Offset(1), 1, Millis::ZERO)
        .await?;
    let mut kernel = if page.first > Offset(1) {
        restored(platform, page.first, base).await?
    } else {
        Kernel::new(CLAIM_WINDOW)
    };
    let mut kept = tree_at(&kernel, base);
    loop {
        let from = kernel.applied().next();
        let page = platform
            .read(Stream::Control, from, READ_MAX, Millis::ZERO)
            .await?;
        if page.first > from {
            return Err(OperatorError::Refused(format!(
                "the log starts at offset {}, records from {from} on are needed; run the command again",
                page.first
            )));
        }
        if page.next < from {
            return Err(OperatorError::Refused(format!(
                "the log ends before offset {}, a snapshot of {} exists; find out whether the log was reset",
                page.next,
                kernel.applied()
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
        (None, Some(base)) if base < kernel.applied() => Err(OperatorError::Refused(format!(
            "the records around revision {base} are gone from the log; pull the file again and repeat the change"
        ))),
        (None, Some(base)) => Err(OperatorError::Refused(format!(
            "the file has revision {base}, the log ends at {}; pull the file from this deployment again",
            kernel.applied()
        ))),
    }
}

/// Returns the settings tree at `base` if the kernel holds it.
///
/// Without an accepted change since `base`, the tree is still the same.
fn tree_at(kernel: &Kernel, base: Option<Offset>) -> Option<Config> {
    let config = kernel.config();
    let same = |base: Offset| base <= kernel.applied() && config.revision() <= base;
    base.is_some_and(same).then(|| config.clone())
}

/// Loads a snapshot that reaches up to the first record of the log, and is not beyond `base` if there is one.
async fn restored(
    platform: &HttpPlatform,
    first: Offset,
    base: Option<Offset>,
) -> Result<Kernel, OperatorError> {
    let mut kernels = snapshot::all(platform).await?;
    kernels.retain(|k| k.applied().next() >= first);
    let usable =
        |k: &Kernel| base.is_none_or(|b| k.applied() <= b || tree_at(k, Some(b)).is_some());
    let at = kernels.iter().rposition(usable);
    let at = at.or(kernels.len().checked_sub(1)).ok_or_else(|| {
        OperatorError::Refused(format!(
            "the log starts at offset {first} and no snapshot reaches up to it; ask a running process with `sesamewing status`"
        ))
    })?;
    Ok(kernels.swap_remove(at))
}
