//! Replicas with a runtime each, so that one can be killed like a process, in front of a stand-in platform.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Instant,
};

use sesamewing::{
    backing::{HostList, HttpPlatform, Log, Stream},
    base::{Millis, Offset, Percent, Rate, Size},
    decide::feed::plan,
    feed,
    kernel::{Kernel, Record},
    net::TlsFiles,
    process::{Context, Links, ProcessSettings},
    wire::{Call, HostEntry, Role},
};
use sesamewing_standin::{certs::write_certs, Platform, PlatformOptions, Server};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::{log::change, PATIENCE};

pub(crate) const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One process; killed without a word when dropped.
pub(crate) struct Node {
    pub(crate) ctx: Context,
    pub(crate) entry: HostEntry,
    runtime: Option<Runtime>,
}

impl Node {
    pub(crate) fn applied(&self) -> Offset {
        self.ctx.replica.applied()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A deployment.
pub(crate) struct Fleet {
    pub(crate) server: Server,
    pub(crate) platform: HttpPlatform,
    pub(crate) nodes: Vec<Node>,
    /// Whether processes of different regions cannot reach each other.
    pub(crate) cut: Arc<AtomicBool>,
    dir: TempDir,
    client: reqwest::Client,
}

impl Fleet {
    pub(crate) async fn new(options: PlatformOptions) -> Self {
        let server = Platform::start(options).await.expect("a platform");
        let dir = tempfile::tempdir().expect("a folder");
        write_certs(dir.path(), &["node".to_owned()]).expect("certificates");
        Self {
            platform: HttpPlatform::new(&server.url()).expect("a client"),
            server,
            nodes: Vec::new(),
            cut: Arc::default(),
            dir,
            client: reqwest::Client::new(),
        }
    }

    /// Replaces the platform by an empty one at the same address.
    pub(crate) async fn restart_empty(&mut self) {
        let listen = self.server.addr();
        let spare = Platform::start(PlatformOptions::default()).await;
        let old = std::mem::replace(&mut self.server, spare.expect("a platform"));
        old.kill().await;
        let options = PlatformOptions {
            listen,
            ..PlatformOptions::default()
        };
        self.server = Platform::start(options)
            .await
            .expect("the address is free again");
    }

    /// Creates a process that is in the host list but does nothing yet.
    pub(crate) async fn add(&mut self, zone: &str, url: &str, seeds: Vec<SocketAddr>) -> usize {
        let file = |f: &str| self.dir.path().join(f);
        let name = format!("{zone}-{}", self.nodes.len());
        let region = zone.split('-').next().expect("a region");
        let settings = ProcessSettings {
            name: name.parse().expect("a name"),
            role: Role::Entry,
            region: region.parse().expect("a name"),
            zone: zone.parse().expect("a name"),
            peer: ANY,
            operator: ANY,
            callers: Some(ANY),
            guard: None,
            seeds,
            platform: url.to_owned(),
            tls: TlsFiles {
                authority: file("ca.pem"),
                certificate: file("node.pem"),
                key: file("node.key"),
            },
            endpoint: None,
            links: Links {
                down: Rate(0),
                up: Rate(0),
                weights: Percent(0),
                memory: Size(0),
            },
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let guard = runtime.enter();
        let ctx = Context::start(settings).expect("a context");
        drop(guard);
        let mut entry = ctx.host_entry();
        entry.peer = ctx.transport.local_addr().expect("a bound address");
        // The platform may be down; the process is then unknown to the others.
        let _ = self.platform.announce(&entry).await;
        self.nodes.push(Node {
            ctx,
            entry,
            runtime: Some(runtime),
        });
        self.nodes.len() - 1
    }

    /// Starts the feed of a process.
    pub(crate) fn start(&self, i: usize) {
        let node = &self.nodes[i];
        let runtime = node.runtime.as_ref().expect("it runs");
        let (ctx, cut) = (node.ctx.clone(), self.cut.clone());
        runtime.spawn(feed::run(ctx.clone()));
        runtime.spawn(async move {
            let transport = ctx.transport.clone();
            let serve = move |incoming: sesamewing::net::Incoming| {
                let (ctx, cut) = (ctx.clone(), cut.clone());
                async move {
                    let region = ctx.settings.region.as_str();
                    let foreign = !incoming.open.sender.as_str().starts_with(region);
                    let severed = async {
                        while !(foreign && cut.load(Ordering::Relaxed)) {
                            tokio::time::sleep(Millis(20).duration()).await;
                        }
                    };
                    if let Call::Feed(req) = &incoming.open.call {
                        let applied = incoming.open.applied;
                        tokio::select! {
                            biased;
                            () = severed => {}
                            () = feed::serve(&ctx, incoming.peer, applied, req, incoming.call) => {}
                        }
                    }
                }
            };
            transport.serve(serve).await;
        });
    }

    /// Adds and starts `n` processes, spread over zones.
    pub(crate) async fn grow(&mut self, zones: &[&str], n: usize) {
        let url = self.server.url();
        let mut new = Vec::new();
        for i in 0..n {
            new.push(self.add(zones[i % zones.len()], &url, Vec::new()).await);
        }
        for i in new {
            self.start(i);
        }
    }

    pub(crate) async fn publish(&self, n: u64) -> Offset {
        self.publish_timed(n).await.0
    }

    /// Publishes a change and returns the time just before its append too.
    pub(crate) async fn publish_timed(&self, n: u64) -> (Offset, Instant) {
        let page = self
            .platform
            .read(Stream::Control, Offset(1), 1, Millis::ZERO);
        let next = page.await.expect("the log is up").next;
        let record = Record::new(change(n, Offset(next.0 - 1), 100));
        let data = record.encode().expect("a small record");
        let start = Instant::now();
        let offset = self.platform.append(Stream::Control, data).await;
        (offset.expect("the log is up"), start)
    }

    /// Waits until all processes have applied an offset; returns how long it took.
    pub(crate) async fn in_force(&self, offset: Offset) -> Millis {
        let start = Instant::now();
        let waits = self.nodes.iter().map(|n| {
            let replica = &n.ctx.replica;
            replica.wait_for(offset, PATIENCE.into())
        });
        let done = futures_util::future::join_all(waits).await;
        assert!(
            done.into_iter().all(|d| d),
            "{offset} is not in force everywhere"
        );
        start.elapsed().into()
    }

    /// Returns the number of reads of the control stream so far.
    pub(crate) async fn reads(&self) -> u64 {
        let url = format!("{}/stats", self.server.url());
        let body = self.client.get(url).send().await.expect("it answers");
        let stats: serde_json::Value = body.json().await.expect("JSON");
        stats["reads"]["control"].as_u64().expect("a number")
    }

    /// Returns the hosts of a process that are its parent and its alternatives, and whether it reads the log.
    pub(crate) fn plan(&self, i: usize) -> sesamewing::decide::feed::Plan {
        let hosts: Vec<_> = self.nodes.iter().map(|n| n.entry.clone()).collect();
        let s = &self.nodes[i].ctx.settings;
        plan(&hosts, &s.name, &s.zone)
    }

    pub(crate) fn readers(&self) -> usize {
        (0..self.nodes.len())
            .filter(|i| self.plan(*i).reader)
            .count()
    }

    /// Kills the process of a name without a word.
    pub(crate) fn kill(&mut self, name: &sesamewing::base::ProcessName) {
        self.nodes.retain(|n| n.entry.name != *name);
    }

    /// Fails unless all processes hold the same state.
    pub(crate) fn assert_equal(&self) {
        let digest = |n: &Node| n.ctx.replica.with_kernel(Kernel::digest);
        let first = digest(&self.nodes[0]);
        assert!(self.nodes.iter().all(|n| digest(n) == first));
    }
}
