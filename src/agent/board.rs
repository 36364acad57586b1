//! What the agent knows of itself and its endpoint, for reports, status and admission.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::{
    base::{event::Event, lock, Millis},
    decide::drain::Drain,
    emit,
    endpoint::EndpointStatus,
    observe::{RoleState, RoleStatus},
    wire::AgentState,
};

/// Prefixes kept for watchers that have not read them yet.
const PREFIXES_MAX: usize = 1024;

/// State that reports are made of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Whether the endpoint answers.
    pub ready: bool,
    /// Whether the endpoint needs weights before it can serve.
    pub weights: bool,
    /// Whether the agent is leaving; final.
    pub leaving: bool,
    /// The endpoint's own report.
    pub endpoint: EndpointStatus,
    /// Requests in progress through the agent.
    pub running: u32,
}

impl View {
    /// Returns whether the agent takes requests.
    pub fn state(&self) -> AgentState {
        if self.leaving {
            AgentState::Leaving
        } else if self.ready && (!self.weights || self.endpoint.version.is_some()) {
            AgentState::Serving
        } else {
            AgentState::Starting
        }
    }
}

/// Shared state of the agent.
#[derive(Debug)]
pub struct Board {
    view: watch::Sender<View>,
    drain: Mutex<Drain>,
    status: Arc<ArcSwap<RoleStatus>>,
    alarms: Mutex<BTreeMap<u16, String>>,
    /// Number of the next prefix, and the latest prefixes, oldest first; at most [`PREFIXES_MAX`].
    prefixes: Mutex<(u64, VecDeque<u64>)>,
    /// Running mean of the time from the first to the last part of an answer, in milliseconds.
    mean: Mutex<Option<f64>>,
}

/// One admitted request; leaves when dropped.
#[derive(Debug)]
pub struct Permit {
    board: Arc<Board>,
}

impl Board {
    /// Creates the state of an agent whose endpoint has not answered yet.
    pub fn new(status: Arc<ArcSwap<RoleStatus>>, weights: bool) -> Self {
        let view = View {
            weights,
            ..View::default()
        };
        Self {
            view: watch::Sender::new(view),
            drain: Mutex::default(),
            status,
            alarms: Mutex::default(),
            prefixes: Mutex::default(),
            mean: Mutex::default(),
        }
    }

    /// Returns the current state.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Subscribes to the state.
    pub fn watch(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    fn update(&self, f: impl FnOnce(&mut View)) {
        self.view.send_if_modified(|v| {
            let before = v.clone();
            f(v);
            *v != before
        });
        // The state is read within the update, so that the last of several concurrent updates stores the latest state.
        self.status.rcu(|s| {
            let view = self.view();
            RoleStatus {
                state: match view.state() {
                    AgentState::Starting => RoleState::Starting,
                    AgentState::Serving => RoleState::Serving,
                    AgentState::Leaving => RoleState::Draining,
                },
                version: view.endpoint.version,
                chunks: s.chunks,
                running: view.running,
                alarms: lock(&self.alarms).values().cloned().collect(),
            }
        });
    }

    fn update_running(&self) {
        self.update(|v| v.running = lock(&self.drain).running());
    }

    /// Takes over the endpoint's report; `None` if the endpoint does not answer.
    pub fn set_endpoint(&self, status: Option<EndpointStatus>) {
        self.update(|v| match status {
            Some(s) => (v.ready, v.endpoint) = (true, s),
            None => v.ready = false,
        });
    }

    /// Reports the chunks held and needed.
    pub fn set_chunks(&self, chunks: Option<(u32, u32)>) {
        self.status.rcu(|s| RoleStatus {
            chunks,
            ..RoleStatus::clone(s)
        });
    }

    /// Raises or replaces an alarm.
    pub fn raise(&self, event: &Event, text: &str) {
        let alarm = format!("{event}: {text}");
        let old = lock(&self.alarms).insert(event.number, alarm.clone());
        if old.as_ref() != Some(&alarm) {
            emit!(event, "{text}");
            self.update(|_| {});
        }
    }

    /// Clears an alarm.
    pub fn clear(&self, event: &Event) {
        if lock(&self.alarms).remove(&event.number).is_some() {
            self.update(|_| {});
        }
    }

    /// Admits a request unless the agent is leaving.
    pub fn enter(self: &Arc<Self>) -> Option<Permit> {
        if !lock(&self.drain).admit() {
            return None;
        }
        self.update_running();
        Some(Permit {
            board: self.clone(),
        })
    }

    /// Begins the drain.
    pub fn begin_drain(&self, now: Millis) {
        lock(&self.drain).begin(now);
        self.update(|v| v.leaving = true);
    }

    /// Returns whether the drain is complete.
    pub fn is_drained(&self, now: Millis) -> bool {
        lock(&self.drain).is_done(now)
    }

    /// Takes note of the time from the first to the last part of an answer; excludes the wait at the endpoint.
    pub fn observe_time(&self, took: Millis) {
        let mut mean = lock(&self.mean);
        let took = took.0 as f64;
        *mean = Some(mean.map_or(took, |m| m + (took - m) / 16.0));
    }

    /// Estimates how long a new request waits at the endpoint before it runs, rather too short than too long.
    ///
    /// Counts the requests of this agent, because the endpoint's own report lags.
    pub fn wait_estimate(&self) -> Millis {
        let v = self.view.borrow();
        let capacity = v.endpoint.capacity;
        if capacity == 0 || v.running <= capacity {
            return Millis::ZERO;
        }
        let mean = lock(&self.mean).unwrap_or(0.0);
        Millis((mean * f64::from(v.running - capacity) / f64::from(capacity)) as u64)
    }

    /// Adds prefixes that the endpoint cached.
    pub fn add_prefixes(&self, prefixes: &[u64]) {
        let mut p = lock(&self.prefixes);
        for x in prefixes {
            if p.1.len() == PREFIXES_MAX {
                p.1.pop_front();
            }
            p.1.push_back(*x);
            p.0 += 1;
        }
    }

    /// Returns the prefixes since position `from` that are still kept, and the next position.
    pub fn prefixes(&self, from: u64) -> (u64, Vec<u64>) {
        let p = lock(&self.prefixes);
        let new = usize::try_from(p.0.saturating_sub(from)).unwrap_or(usize::MAX);
        let skip = p.1.len().saturating_sub(new);
        (p.0, p.1.iter().skip(skip).copied().collect())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.board.drain).finish();
        self.board.update_running();
    }
}
