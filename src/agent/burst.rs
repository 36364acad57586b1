//! Whether this host loads and keeps the version, and its drain before the credits end.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{sync::watch, task::AbortHandle, task::JoinSet};

use super::{
    board::Board,
    event::{BURST_FOREIGN, BURST_GREW, CREDITS_DRAIN, CREDITS_END},
};
use crate::{
    base::{lock, wall_ms, Clock, HashMap, Millis, Offset, ProcessName, Service},
    decide::{
        burst::{AgentRank, CreditDrain, DrainStage, ReplicaScaler, ScalingRule},
        member::SUSPECT_AFTER,
    },
    emit,
    net::{follow_reports, Followed},
    observe::Scope,
    process::{Context, Phase},
    settings::Burst,
    wire::{Call, HostEntry, HostState, Role, WatchRequest},
};

/// Time between two looks at host list and clocks.
const TICK: Duration = Duration::from_millis(200);

/// Heartbeat interval that watched agents are asked for.
const INTERVAL: Millis = Millis(1000);

/// Pause before a subscription is opened again.
const PAUSE: Millis = Millis(500);

/// What the loader may do under the settings at `offset`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Share {
    /// Offset of the settings that the decision was made under.
    pub(super) offset: Offset,
    /// Whether the host loads the version in the settings.
    pub(super) load: bool,
    /// Whether the copy stays in memory after the endpoint confirmed the version.
    pub(super) keep: bool,
}

/// This host's share in holding the version; by default it always loads and keeps it.
#[derive(Debug)]
pub struct Standing(watch::Receiver<Share>);

impl Default for Standing {
    fn default() -> Self {
        let always = Share {
            offset: Offset(u64::MAX),
            load: true,
            keep: true,
        };
        Self(watch::channel(always).1)
    }
}

impl Standing {
    /// Returns the share and marks it as seen.
    pub(super) fn get(&mut self) -> Share {
        *self.0.borrow_and_update()
    }

    /// Returns the share without marking it as seen.
    pub(super) fn peek(&self) -> Share {
        *self.0.borrow()
    }

    /// Waits for a share that [`Standing::get`] has not returned.
    pub(super) async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Applies the section `burst` to one agent.
#[derive(Debug)]
pub(super) struct Sizer {
    ctx: Context,
    board: Arc<Board>,
    service: Service,
    growth: Arc<Mutex<ReplicaScaler>>,
    credits: CreditDrain,
    out: watch::Sender<Share>,
    tasks: JoinSet<()>,
    watches: HashMap<ProcessName, (SocketAddr, AbortHandle)>,
}

impl Sizer {
    /// Creates the driver and the loader's side of it, which admits nothing until the first decision.
    pub(super) fn new(ctx: Context, board: Arc<Board>, service: Service) -> (Self, Standing) {
        let (out, standing) = watch::channel(Share {
            offset: Offset(0),
            load: false,
            keep: true,
        });
        let sizer = Self {
            ctx,
            board,
            service,
            growth: Arc::default(),
            credits: CreditDrain::default(),
            out,
            tasks: JoinSet::new(),
            watches: HashMap::default(),
        };
        (sizer, Standing(standing))
    }

    /// Runs until the task is dropped.
    pub(super) async fn run(mut self) {
        let mut applied = self.ctx.replica.watch();
        loop {
            applied.mark_unchanged();
            self.tick();
            let _ = tokio::time::timeout(TICK, applied.changed()).await;
        }
    }

    fn tick(&mut self) {
        let settings = self.ctx.replica.settings();
        let found = settings.service(&self.ctx.settings.region, &self.service);
        let Some(found) = found else {
            self.board.clear(&CREDITS_END);
            return;
        };
        let hosts = self.ctx.replica.hosts();
        let listed = hosts.hosts.iter().any(|h| h.name == self.ctx.settings.name);
        let live: Vec<_> = hosts.hosts.iter().filter(|h| self.is_live(h)).collect();
        let place = listed.then(|| {
            let names = live.iter().map(|h| h.name.clone());
            AgentRank::new(&self.service, &self.ctx.settings.name, names)
        });
        self.check_credits(&found.burst, place.as_ref());
        let rule = ScalingRule {
            replicas: found.burst.replicas,
            ceiling: found.burst.ceiling,
            seeds: found.burst.seeds,
            threshold: found.burst.threshold,
            version: found.weights.version.clone(),
        };
        let held = self.board.view().endpoint.version;
        let now = self.ctx.clock.now();
        let verdict = lock(&self.growth).tick(now, place.as_ref(), &rule, held.as_ref());
        if let (true, Some(version), Some(p)) = (verdict.scaled_up, rule.version, &place) {
            let text = format!("rank {} loads version {version}", p.rank);
            emit!(BURST_GREW, "{text}");
            self.ctx.timeline.record(&BURST_GREW, version, text);
        }
        let find = |n: &ProcessName| Some((n.clone(), live.iter().find(|h| h.name == *n)?.peer));
        self.watch(verdict.watch.iter().filter_map(find).collect());
        let share = Share {
            offset: settings.offset,
            load: verdict.load,
            keep: verdict.keep,
        };
        self.out
            .send_if_modified(|s| std::mem::replace(s, share) != share);
    }

    fn is_live(&self, h: &HostEntry) -> bool {
        h.role == Role::Agent
            && h.state == HostState::Live
            && h.region == self.ctx.settings.region
            && h.service.as_ref() == Some(&self.service)
    }

    fn check_credits(&mut self, burst: &Burst, place: Option<&AgentRank>) {
        let ends = Millis::from_secs(u64::from(burst.ends));
        match self
            .credits
            .tick(Millis(wall_ms()), ends, burst.lead, place)
        {
            DrainStage::Far => return self.board.clear(&CREDITS_END),
            DrainStage::Announced => {}
            DrainStage::Drain if self.ctx.phase() == Phase::Serving => {
                let text = format!("credits end at Unix time {}", burst.ends);
                emit!(CREDITS_DRAIN, "{text}");
                self.ctx
                    .timeline
                    .record(&CREDITS_DRAIN, Scope::default(), text);
                self.ctx.advance(Phase::Draining);
            }
            DrainStage::Drain => {}
        }
        let (ends, lead) = (burst.ends, burst.lead);
        let start = u64::from(ends).saturating_sub(lead.0 / 1000);
        let text = format!("credits end at Unix time {ends}, the hosts drain from {start} on");
        self.board.raise(&CREDITS_END, &text);
    }

    /// Subscribes to the reports of exactly these agents.
    fn watch(&mut self, wanted: HashMap<ProcessName, SocketAddr>) {
        self.watches.retain(|name, (peer, task)| {
            let keep = wanted.get(name) == Some(peer);
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, peer) in wanted {
            if !self.watches.contains_key(&name) {
                let (ctx, growth) = (self.ctx.clone(), self.growth.clone());
                let task = self.tasks.spawn(subscribe(ctx, growth, name.clone(), peer));
                self.watches.insert(name, (peer, task));
            }
        }
        while self.tasks.try_join_next().is_some() {}
    }
}

/// Follows the reports of one agent until the task is aborted.
async fn subscribe(
    ctx: Context,
    growth: Arc<Mutex<ReplicaScaler>>,
    name: ProcessName,
    peer: SocketAddr,
) {
    let mut known = None;
    loop {
        let open = ctx.open(Call::Watch(WatchRequest { interval: INTERVAL }));
        let take = |report| lock(&growth).report(ctx.clock.now(), report);
        let end = follow_reports(&ctx.transport, peer, &open, &name, SUSPECT_AFTER, take).await;
        let Followed { foreign, .. } = end;
        if foreign.is_some() && foreign != known {
            let other = foreign.as_ref().map_or("", ProcessName::as_str);
            emit!(BURST_FOREIGN, "{other} answers at the address of {name}");
        }
        known = foreign;
        // The connection may be silent although the agent is alive: the next try uses a fresh one.
        ctx.transport.discard(peer);
        tokio::time::sleep(PAUSE.duration()).await;
    }
}
