//! Appends a record and waits until its effect is known.

use crate::{
    backing::{Log, PlatformError, Stream},
    base::Millis,
    feed::Replica,
    kernel::{Effect, Record, RecordError, Step},
};

/// Pause between two appends of the same record.
const RETRY_PAUSE: Millis = Millis(200);

/// Why the effect of an append is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The record is not valid.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The log refused each append; the record has no effect.
    #[error("the log refused the record ({0}); retry later")]
    Refused(PlatformError),
    /// The record may be in the log.
    #[error(
        "the record was not read back within {0}; check its effect before appending a new one"
    )]
    Unknown(Millis),
}

/// Appends a record to the control stream and returns its first effect, read back through the replica.
///
/// The same record is appended again while answers are lost; it applies once.
///
/// # Errors
///
/// Returns [`AppendError::Refused`] if the record is known to have no effect, [`AppendError::Unknown`] if it may take
/// effect later.
pub async fn append<L: Log>(
    log: &L,
    replica: &Replica,
    record: &Record,
    timeout: Millis,
) -> Result<Step, AppendError> {
    let data = record.encode()?;
    let mut steps = replica.steps();
    let mut sent = false;
    let mut refused = None;
    let work = async {
        let read_back = async {
            loop {
                match steps.recv().await {
                    Ok(s) if s.id == Some(record.id) && s.effect != Effect::Duplicate => return s,
                    Ok(_) => {}
                    Err(_) => std::future::pending().await,
                }
            }
        };
        let write = async {
            loop {
                match log.append(Stream::Control, data.clone()).await {
                    Ok(_) => break sent = true,
                    Err(PlatformError::Unknown(_)) => sent = true,
                    Err(e) => refused = Some(e),
                }
                tokio::time::sleep(RETRY_PAUSE.duration()).await;
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            step = read_back => step,
            () = write => unreachable!("the writer never ends"),
        }
    };
    match tokio::time::timeout(timeout.duration(), work).await {
        Ok(step) => Ok(step),
        Err(_) => match refused {
            Some(e) if !sent => Err(AppendError::Refused(e)),
            _ => Err(AppendError::Unknown(timeout)),
        },
    }
}
