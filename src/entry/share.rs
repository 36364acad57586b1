//! Exchange of shares of workspace limits between the entries of a region.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use super::shared::Shared;
use crate::{
    base::{lock, rendezvous, Clock, HashMap, Millis, ProcessName, Service, Workspace},
    decide::limit::share::{Share, SharePool},
    net,
    wire::{Call, HostEntry, ShareItem, ShareReply, ShareRequest},
};

/// Shortest time between two reports of demand.
const INTERVAL_MIN: Millis = Millis(1000);

/// Time between two reports for each entry of the region: it bounds the reports that one coordinator receives to 50 a
/// second, about 12 KB/s.
const INTERVAL_EACH: Millis = Millis(20);

/// Shortest time between two reports when a share is too small.
const INTERVAL_URGENT: Millis = Millis(100);

/// Longest lifetime of a grant that a coordinator gives.
const LIFETIME_MAX: Millis = Millis(60_000);

/// Time for the answer of a coordinator.
const TIMEOUT: Millis = Millis(1000);

/// Largest exchange in bytes.
const MESSAGE_MAX: usize = 1 << 20;

/// Workspaces that this entry coordinates.
#[derive(Debug, Default)]
pub(super) struct Coordinator {
    pools: Mutex<HashMap<(Service, Workspace), SharePool>>,
}

fn item(service: &Service, workspace: &Workspace, share: Share) -> ShareItem {
    ShareItem {
        service: service.clone(),
        workspace: workspace.clone(),
        concurrency: share.concurrency,
        rate: share.rate,
    }
}

fn share(item: &ShareItem) -> Share {
    Share {
        concurrency: item.concurrency,
        rate: item.rate,
    }
}

impl Coordinator {
    /// Grants shares to an entry.
    pub(super) fn grant(
        &self,
        shared: &Shared,
        sender: &ProcessName,
        req: &ShareRequest,
    ) -> ShareReply {
        let now = shared.ctx.clock.now();
        let lifetime = req.lifetime.min(LIFETIME_MAX);
        let settings = shared.settings();
        let region = &shared.ctx.settings.region;
        let mut pools = lock(&self.pools);
        pools.retain(|_, p| !p.is_idle(now));
        let grant = |i: &ShareItem| {
            let service = settings.service(region, &i.service)?;
            let limit = &service.workspaces.get(&i.workspace)?.limit;
            let limit = Share {
                concurrency: limit.concurrency,
                rate: u64::from(limit.rate) * 1000,
            };
            let key = (i.service.clone(), i.workspace.clone());
            let pool = pools.entry(key).or_default();
            let granted = pool.grant(now, sender, share(i), limit, lifetime, shared.entries());
            Some(item(&i.service, &i.workspace, granted))
        };
        ShareReply {
            items: req.items.iter().filter_map(grant).collect(),
        }
    }

    /// Answers an entry over the network.
    pub(super) async fn answer(
        &self,
        shared: &Shared,
        sender: &ProcessName,
        req: &ShareRequest,
        mut call: net::Call,
    ) {
        let reply = self.grant(shared, sender, req);
        if call.tx.send_within(&reply, TIMEOUT).await.is_ok() {
            call.tx.finish();
            // Dropping the call earlier could overtake the reply.
            let _ = tokio::time::timeout(TIMEOUT.duration(), call.tx.closed()).await;
        }
    }
}

/// Reports demand to the coordinators and takes over their grants.
pub(super) async fn exchange(shared: Arc<Shared>, coordinator: Arc<Coordinator>) {
    let mut last = shared.ctx.clock.now();
    loop {
        let interval = INTERVAL_EACH
            .times(shared.entries().into())
            .max(INTERVAL_MIN);
        tokio::time::sleep(INTERVAL_URGENT.duration()).await;
        let rest = (interval - INTERVAL_URGENT).duration();
        let _ = tokio::time::timeout(rest, shared.shares.notified()).await;
        let now = shared.ctx.clock.now();
        let mut batches: HashMap<ProcessName, (SocketAddr, Vec<ShareItem>)> = HashMap::default();
        let entries = shared.live_entries();
        for (service, gate) in shared.gates() {
            for (workspace, demand) in gate.demand(now - last) {
                let Some(host) = first(&entries, &service, &workspace) else {
                    continue;
                };
                let (_, items) = batches
                    .entry(host.name.clone())
                    .or_insert_with(|| (host.peer, Vec::new()));
                items.push(item(&service, &workspace, headroom(demand)));
            }
        }
        last = now;
        let lifetime = interval.times(3);
        let asks = batches.into_iter().map(|(name, (peer, items))| {
            let req = ShareRequest { lifetime, items };
            ask(&shared, &coordinator, name, peer, req)
        });
        for reply in futures_util::future::join_all(asks)
            .await
            .into_iter()
            .flatten()
        {
            for i in &reply.items {
                // Counted from before the request was sent: the coordinator's own time starts later.
                let until = now + lifetime;
                shared
                    .gate(&i.service)
                    .granted(&i.workspace, share(i), until);
            }
        }
    }
}

/// Asks for a quarter more than was used, so that growing demand finds room until the next report.
fn headroom(d: Share) -> Share {
    Share {
        concurrency: d.concurrency + d.concurrency.div_ceil(4),
        rate: d.rate + d.rate / 4 + 1000,
    }
}

/// Returns the coordinator of a workspace.
fn first<'h>(
    entries: &'h [HostEntry],
    service: &Service,
    workspace: &Workspace,
) -> Option<&'h HostEntry> {
    let key = format!("{service}/{workspace}");
    entries
        .iter()
        .min_by_key(|h| rendezvous(key.as_bytes(), h.name.as_str().as_bytes()))
}

async fn ask(
    shared: &Shared,
    coordinator: &Coordinator,
    name: ProcessName,
    peer: SocketAddr,
    req: ShareRequest,
) -> Option<ShareReply> {
    if name == shared.ctx.settings.name {
        return Some(coordinator.grant(shared, &name, &req));
    }
    let open = shared.ctx.open(Call::Share(req));
    let call = async {
        let mut call = shared.ctx.transport.call(peer, &open).await.ok()?;
        call.rx.next(MESSAGE_MAX, TIMEOUT).await.ok()
    };
    let reply = tokio::time::timeout(TIMEOUT.duration(), call).await;
    if reply.is_err() {
        shared.ctx.transport.discard(peer);
    }
    reply.ok().flatten()
}
