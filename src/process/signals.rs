//! Signals that stop or reload an entry or agent on the platform.

use eyre::WrapErr;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Handled signals. Until they are installed, each of them ends the process; from then on, one that arrives before it is
/// waited for is kept.
#[derive(Debug)]
pub struct Signals {
    pub(crate) term: Signal,
    pub(crate) hangup: Signal,
}

impl Signals {
    /// Installs the handlers in the present runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler.
    pub fn install() -> eyre::Result<Self> {
        let term = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
        let hangup = signal(SignalKind::hangup()).wrap_err("cannot handle SIGHUP")?;
        Ok(Self { term, hangup })
    }
}
