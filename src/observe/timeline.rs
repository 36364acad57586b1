//! Events of a process in order of time, kept in memory for the operator's timeline.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use serde::{Deserialize, Serialize};

use crate::base::{event::Event, lock, wall_ms, ProcessName, RequestId, VersionName};

/// Moments kept by a process; at 100 requests a second with 5 moments each this covers 30 s.
const MOMENTS_MAX: usize = 16_384;

/// What a moment belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// Request.
    pub request: Option<RequestId>,
    /// Version that is rolled out.
    pub version: Option<VersionName>,
}

impl From<RequestId> for Scope {
    fn from(id: RequestId) -> Self {
        Self {
            request: Some(id),
            version: None,
        }
    }
}

impl From<VersionName> for Scope {
    fn from(version: VersionName) -> Self {
        Self {
            request: None,
            version: Some(version),
        }
    }
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Wall-clock time in Unix milliseconds.
    pub time_ms: u64,
    /// Increases with each moment of a process; orders moments of the same millisecond.
    pub sequence: u64,
    /// Process.
    pub process: ProcessName,
    /// Number and name of the event.
    pub event: String,
    /// What it belongs to.
    #[serde(flatten)]
    pub scope: Scope,
    /// Further text; holds no keys, prompts or answers.
    pub text: String,
}

/// Ring of moments; cheap to clone.
#[derive(Clone, Debug)]
pub struct Timeline {
    process: ProcessName,
    /// At most [`MOMENTS_MAX`], oldest first, with the number of the next moment.
    ring: Arc<Mutex<(u64, VecDeque<Moment>)>>,
}

impl Timeline {
    /// Creates an empty timeline for a process.
    pub fn new(process: ProcessName) -> Self {
        Self {
            process,
            ring: Arc::default(),
        }
    }

    /// Adds a moment.
    pub fn record(&self, event: &Event, scope: impl Into<Scope>, text: impl Into<String>) {
        let (event, scope, text) = (event.to_string(), scope.into(), text.into());
        let (time_ms, process) = (wall_ms(), self.process.clone());
        let mut ring = lock(&self.ring);
        let sequence = ring.0;
        ring.0 += 1;
        if ring.1.len() == MOMENTS_MAX {
            ring.1.pop_front();
        }
        ring.1.push_back(Moment {
            time_ms,
            sequence,
            process,
            event,
            scope,
            text,
        });
    }

    /// Returns the moments that a filter accepts, oldest first.
    pub fn select(&self, accept: impl Fn(&Moment) -> bool) -> Vec<Moment> {
        let ring = lock(&self.ring);
        ring.1.iter().filter(|m| accept(m)).cloned().collect()
    }
}
