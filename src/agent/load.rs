//! Obtains the version in the settings and commands the endpoint to load it.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use super::{
    board::Board,
    burst::Standing,
    event::{COPY_RELEASED, COPY_RESTORED, LOADED, LOAD_FAILED, WEIGHTS_MISSING},
    guard,
    lessee::Lessee,
};
use crate::{
    backing::Log,
    base::{Clock, Digest, Millis, Region, Service, VersionName},
    decide::lease::FenceGate,
    emit,
    endpoint::{Endpoint, EndpointError, LoadOrder},
    feed::Replica,
    observe::Timeline,
    process::Fencing,
    weights::{Complete, Source},
};

/// Pause after a failure.
const RETRY_PAUSE: Millis = Millis(500);

/// Time for the endpoint to confirm a version after it took the command.
const CONFIRM_TIMEOUT: Millis = Millis::from_secs(60);

/// Pause between two looks at the endpoint's status.
const CONFIRM_PAUSE: Millis = Millis(50);

/// Time without a new chunk after which a copy raises an alarm.
const STALL_ALARM: Millis = Millis::from_secs(5);

/// Version that the settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    version: VersionName,
    manifest: Digest,
}

/// Keeps the endpoint at the version in the settings.
#[derive(Debug)]
pub struct Loader<E, L, C, S> {
    /// The endpoint.
    pub endpoint: E,
    /// Where weights come from.
    pub source: S,
    /// Lease of the endpoint.
    pub lessee: Lessee<L, C>,
    /// Agreed state.
    pub replica: Arc<Replica>,
    /// State of the agent.
    pub board: Arc<Board>,
    /// Recent events.
    pub timeline: Timeline,
    /// Region of the host.
    pub region: Region,
    /// Service of the endpoint.
    pub service: Service,
    /// Address that is bound before the first command.
    pub guard: Option<SocketAddr>,
    /// Who rejects stale tokens.
    pub fencing: Fencing,
    /// Whether this host loads and keeps versions.
    pub burst: Standing,
}

/// Why a load was given up.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("the lease ended before the command was sent")]
    Lapsed,
    #[error("a command with a greater token was sent before")]
    Stale,
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
    #[error("the endpoint did not confirm the version within {CONFIRM_TIMEOUT}")]
    Unconfirmed,
}

impl<E: Endpoint, L: Log, C: Clock, S: Source> Loader<E, L, C, S> {
    fn target(&self) -> Option<Target> {
        target(&self.replica, &self.region, &self.service)
    }

    /// Runs until the task is dropped.
    pub async fn run(mut self) {
        let mut loaded: Option<Target> = None;
        let mut guard = None;
        let mut gate = FenceGate::default();
        // Kept while the command fails, so that a retry does not fetch the version again.
        let mut held: Option<(Target, Complete)> = None;
        // Whether the copy of `loaded` was dropped from memory.
        let mut released = false;
        loop {
            if !self.settle(loaded.as_ref(), &mut released).await {
                continue;
            }
            let Some(target) = self.wanted(loaded.as_ref()).await else {
                continue;
            };
            let kept = held.take().filter(|(t, _)| *t == target);
            let complete = match kept {
                Some((_, complete)) => Some(complete),
                None => self.obtain(&target).await,
            };
            let Some(complete) = complete else {
                continue;
            };
            if guard.is_none() {
                guard = guard::hold(self.guard, &self.board).await;
            }
            match self.load(&complete, &mut gate).await {
                Ok(()) => {
                    self.board.clear(&LOAD_FAILED);
                    emit!(LOADED, "version {}", target.version);
                    self.timeline.record(&LOADED, target.version.clone(), "");
                    self.source.retain(&[target.manifest]);
                    (loaded, released) = (Some(target), false);
                }
                Err(e) => {
                    self.board.raise(&LOAD_FAILED, &e.to_string());
                    held = Some((target, complete));
                    tokio::time::sleep(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Drops the copy of the loaded version, or fetches it again if this host became a seed; returns whether it has what
    /// it should.
    async fn settle(&mut self, loaded: Option<&Target>, released: &mut bool) -> bool {
        let (Some(target), keep) = (loaded, self.burst.get().keep) else {
            return true;
        };
        let leaving = self.board.view().leaving;
        if keep != *released || leaving || self.target().as_ref() != loaded {
            return true;
        }
        if !keep {
            emit!(COPY_RELEASED, "version {}", target.version);
            let scope = target.version.clone();
            self.timeline.record(&COPY_RELEASED, scope, "");
            self.source.retain(&[]);
            self.board.set_chunks(self.source.progress());
            *released = true;
            return true;
        }
        emit!(COPY_RESTORED, "version {}", target.version);
        let scope = target.version.clone();
        self.timeline.record(&COPY_RESTORED, scope, "");
        *released = self.obtain(target).await.is_none();
        !*released
    }

    /// Returns the version to load; waits for news if the endpoint has it already.
    async fn wanted(&mut self, loaded: Option<&Target>) -> Option<Target> {
        let mut applied = self.replica.watch();
        applied.mark_unchanged();
        let mut view = self.board.watch();
        // `settle` marks the share as seen, so that a change since then ends the wait below.
        let share = self.burst.peek();
        let (target, now) = (self.target(), view.borrow_and_update().clone());
        // A share that was decided under older settings does not admit a newer version.
        let admitted = share.load && share.offset >= self.replica.settings().offset;
        let target = target.filter(|t| {
            let confirmed = now.endpoint.version.as_ref() == Some(&t.version);
            // Names are unique, unless this agent itself loaded another manifest under the name.
            let same = loaded.is_none_or(|l| l.version != t.version || l == t);
            admitted && now.ready && !now.leaving && !(confirmed && same)
        });
        if target.is_none() {
            tokio::select! {
                _ = applied.changed() => {}
                _ = view.changed() => {}
                () = self.burst.changed() => {}
            }
        }
        target
    }

    /// Obtains a version; abandons the copy when the settings name another one.
    async fn obtain(&self, target: &Target) -> Option<Complete> {
        let copy = async {
            let mut tick = tokio::time::interval(Millis(200).duration());
            let ensure = self.source.ensure(target.manifest);
            tokio::pin!(ensure);
            let mut last = (self.source.progress(), Instant::now());
            loop {
                tokio::select! {
                    done = &mut ensure => return done,
                    _ = tick.tick() => self.watch_progress(&mut last),
                }
            }
        };
        let done = tokio::select! {
            done = copy => done,
            () = self.replaced(target) => return None,
        };
        self.board.set_chunks(self.source.progress());
        match done {
            Ok(c) if c.version == target.version => {
                self.board.clear(&WEIGHTS_MISSING);
                return Some(c);
            }
            Ok(c) => self.board.raise(
                &WEIGHTS_MISSING,
                &format!(
                    "the manifest describes {}, the settings name {}",
                    c.version, target.version
                ),
            ),
            Err(e) => self.board.raise(&WEIGHTS_MISSING, &e.to_string()),
        }
        tokio::time::sleep(RETRY_PAUSE.duration()).await;
        None
    }

    /// Publishes the progress of a copy and raises an alarm while it stands still.
    fn watch_progress(&self, last: &mut (Option<(u32, u32)>, Instant)) {
        let progress = self.source.progress();
        self.board.set_chunks(progress);
        if progress != last.0 {
            self.board.clear(&WEIGHTS_MISSING);
            *last = (progress, Instant::now());
        }
        if last.1.elapsed() >= STALL_ALARM.duration() {
            self.board.raise(
                &WEIGHTS_MISSING,
                &format!("no chunk arrived for {STALL_ALARM}"),
            );
        }
    }

    /// Waits until the settings name another version.
    async fn replaced(&self, old: &Target) {
        let mut applied = self.replica.watch();
        let other = |_: &_| self.target().as_ref() != Some(old);
        if applied.wait_for(other).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Commands the endpoint under the lease and waits for its confirmation.
    async fn load(&mut self, complete: &Complete, gate: &mut FenceGate) -> Result<(), LoadError> {
        self.lessee.acquire().await;
        let result = self.command(complete, gate).await;
        self.lessee.release().await;
        result
    }

    async fn command(
        &mut self,
        complete: &Complete,
        gate: &mut FenceGate,
    ) -> Result<(), LoadError> {
        let mut order = LoadOrder {
            version: complete.version.clone(),
            whole: complete.whole,
            fence: Default::default(),
            chunks: complete.chunks.clone(),
        };
        order.fence = self.lessee.may_command().ok_or(LoadError::Lapsed)?;
        if self.fencing == Fencing::Unchecked && !gate.admit(order.fence) {
            return Err(LoadError::Stale);
        }
        let (endpoint, board) = (self.endpoint.clone(), self.board.clone());
        let version = order.version.clone();
        let work = async move {
            endpoint.load(order).await?;
            let confirmed = confirm(&endpoint, &board, &version);
            tokio::time::timeout(CONFIRM_TIMEOUT.duration(), confirmed)
                .await
                .map_err(|_| LoadError::Unconfirmed)
        };
        self.lessee.renew_during(work).await
    }
}

/// Waits until the endpoint itself reports the version.
async fn confirm<E: Endpoint>(endpoint: &E, board: &Board, version: &VersionName) {
    loop {
        if let Ok(status) = endpoint.status().await {
            let done = status.version.as_ref() == Some(version);
            board.set_endpoint(Some(status));
            if done {
                return;
            }
        }
        tokio::time::sleep(CONFIRM_PAUSE.duration()).await;
    }
}

fn target(replica: &Replica, region: &Region, service: &Service) -> Option<Target> {
    let settings = replica.settings();
    let weights = &settings.service(region, service)?.weights;
    Some(Target {
        version: weights.version.clone()?,
        manifest: weights.manifest?,
    })
}
