//! How the connection of a request in flight ended, and how far the response had come.

use std::{error::Error, fmt, io};

/// Progress of a response when its connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Progress {
    /// Nothing of it had arrived.
    Sent,
    /// Its head had arrived, but no whole event.
    Head,
    /// One piece with whole events had arrived.
    Event,
    /// Several pieces with events, or a part of a plain body, had arrived.
    Body,
}

impl Progress {
    /// Returns the name for logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Head => "head",
            Self::Event => "event",
            Self::Body => "body",
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The endpoint, or its host's kernel, closed or reset it.
    Closed,
    /// Nothing was heard of the endpoint's host for some time.
    Silent,
}

impl Ending {
    /// Classifies the error that a connection returned.
    pub(super) fn of(error: &(dyn Error + 'static)) -> Self {
        let mut cause = Some(error);
        while let Some(e) = cause {
            let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
            if matches!(
                kind,
                Some(io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable)
            ) {
                return Self::Silent;
            }
            cause = e.source();
        }
        Self::Closed
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
        })
    }
}
