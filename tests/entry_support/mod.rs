//! An entry in this process, with scripted agents on the loopback interface.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    reason = "each test file uses a part"
)]

mod agent;

use std::{net::SocketAddr, sync::Arc, time::Duration};

#[allow(unused_imports, reason = "each test file uses a part")]
pub use agent::{reply, whole, Agent};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sesamewing::{
    base::{Millis, Offset, ProcessName},
    entry,
    kernel::{Body, Effect, Entry as LogEntry, NodePath, Publish, Record},
    net::{TlsFiles, SERVER_NAME},
    process::{Context, Links, Phase, ProcessSettings},
    wire::{HostEntry, HostState, Hosts, Role},
};
use tempfile::TempDir;
use tokio::task::JoinHandle;

/// Longest time that a test waits for a condition; far above what any of them needs.
pub const WAIT_MAX: Duration = Duration::from_secs(30);

/// Version that agents of model services confirm.
pub const VERSION: &str = "v1";

/// Certificates of a deployment.
pub struct Certs {
    dir: TempDir,
}

impl Certs {
    fn new() -> Self {
        let dir = tempfile::tempdir().unwrap();
        let mut params = CertificateParams::new(Vec::<String>::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let authority = params.self_signed(&key).unwrap();
        let issuer = Issuer::new(params, key);
        let key = KeyPair::generate().unwrap();
        let node = CertificateParams::new(vec![SERVER_NAME.to_owned()]).unwrap();
        let node = node.signed_by(&key, &issuer).unwrap();
        let write = |name: &str, text: String| std::fs::write(dir.path().join(name), text).unwrap();
        write("ca.pem", authority.pem());
        write("node.pem", node.pem());
        write("node.key", key.serialize_pem());
        Self { dir }
    }

    pub fn files(&self) -> TlsFiles {
        TlsFiles {
            authority: self.dir.path().join("ca.pem"),
            certificate: self.dir.path().join("node.pem"),
            key: self.dir.path().join("node.key"),
        }
    }
}

/// Returns a free port of the loopback interface.
fn free_port() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_MAX, wait)
        .await
        .unwrap_or_else(|_| panic!("not reached: {what}"));
}

/// An entry with agents.
pub struct World {
    pub certs: Certs,
    pub ctx: Context,
    pub agents: Vec<Arc<Agent>>,
    pub callers: SocketAddr,
    pub http: reqwest::Client,
    pub run: Option<JoinHandle<eyre::Result<()>>>,
}

impl World {
    /// Starts an entry with `agents` agents of `service`, and publishes `values` at the nodes.
    pub async fn start(service: &str, agents: usize, nodes: &[(&str, &[(&str, &str)])]) -> Self {
        let certs = Certs::new();
        let plain = service == "orders";
        let mut started = Vec::new();
        for i in 0..agents {
            let name = format!("agent-{i}");
            started.push(Agent::start(
                &certs,
                &name,
                service,
                (!plain).then_some(VERSION),
            ));
        }
        let callers = free_port();
        let ctx = Context::start(ProcessSettings {
            name: "entry-1".parse().unwrap(),
            role: Role::Entry,
            region: "east".parse().unwrap(),
            zone: "east-a".parse().unwrap(),
            peer: "127.0.0.1:0".parse().unwrap(),
            operator: "127.0.0.1:1".parse().unwrap(),
            callers: Some(callers),
            guard: None,
            // Nothing listens there: settings and hosts are set directly.
            seeds: Vec::new(),
            platform: format!("http://{}", free_port()),
            tls: certs.files(),
            endpoint: None,
            links: Links {
                down: "20Mbit/s".parse().unwrap(),
                up: "20Mbit/s".parse().unwrap(),
                weights: "80%".parse().unwrap(),
                memory: "512MB".parse().unwrap(),
            },
        })
        .unwrap();
        let world = Self {
            run: Some(tokio::spawn(entry::run(ctx.clone()))),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            certs,
            ctx,
            agents: started,
            callers,
        };
        for (path, values) in nodes {
            world.publish(path, values);
        }
        world.list(&[]);
        world.routable(agents).await;
        let url = format!("http://{callers}/v1/entries");
        for _ in 0..6000 {
            if world.http.get(&url).send().await.is_ok() {
                return world;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the callers' API does not answer");
    }

    /// Starts an entry before model agents with one open workspace.
    pub async fn model(agents: usize) -> Self {
        let service = [("weights.version", VERSION)];
        Self::start(
            "drafts",
            agents,
            &[("/east/drafts", &service), ("/east/drafts/lab", &[])],
        )
        .await
    }

    /// Starts an entry before plain agents with one open workspace.
    pub async fn plain(agents: usize) -> Self {
        Self::start(
            "orders",
            agents,
            &[("/east/orders", &[]), ("/east/orders/lab", &[])],
        )
        .await
    }

    /// Publishes the values of one node.
    pub fn publish(&self, path: &str, values: &[(&str, &str)]) {
        let path: NodePath = path.parse().unwrap();
        let revision = |p: &NodePath| {
            self.ctx
                .replica
                .with_kernel(|k| k.config().node(p).map_or(Offset(0), |n| n.revision))
        };
        let record = Record::new(Body::Publish(Publish {
            author: "test".to_owned(),
            base: vec![(path.clone(), revision(&path))],
            nodes: vec![(
                path.clone(),
                Some(
                    values
                        .iter()
                        .map(|(k, v)| ((*k).into(), (*v).into()))
                        .collect(),
                ),
            )],
        }));
        let step = self.ctx.replica.apply(&LogEntry {
            offset: self.ctx.replica.applied().next(),
            time: Millis(1),
            data: record.encode().unwrap(),
        });
        assert_eq!(step.unwrap().effect, Effect::Published);
    }

    /// Sets the host list to the agents and other entries.
    pub fn list(&self, entries: &[HostEntry]) {
        let mut hosts: Vec<_> = self.agents.iter().map(|a| a.host()).collect();
        hosts.push(self.ctx.host_entry());
        hosts.extend_from_slice(entries);
        self.ctx.replica.set_hosts(Hosts { hosts });
    }

    /// Waits until the entry routes to `count` agents.
    pub async fn routable(&self, count: usize) {
        until("the number of agents", || {
            self.metric("sesamewing_agents") == count as u64
        })
        .await;
    }

    /// Returns the sum of a metric over its labels.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.ctx.metrics.encode();
        text.lines()
            .filter(|l| l.starts_with(name) && !l.starts_with('#'))
            .filter(|l| matches!(l.as_bytes().get(name.len()), Some(b'{' | b' ')))
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum::<f64>() as u64
    }

    /// Starts a request to the callers' API.
    pub fn request(&self, method: &str, path: &str) -> reqwest::RequestBuilder {
        let method = method.parse().unwrap();
        let url = format!("http://{}{path}", self.callers);
        self.http
            .request(method, url)
            .header("Sesamewing-Workspace", "lab")
            .timeout(WAIT_MAX)
    }

    /// Starts a completion.
    pub fn completion(&self, stream: bool) -> reqwest::RequestBuilder {
        let body = serde_json::json!({
            "model": "drafts", "prompt": "secret-prompt", "max_tokens": 4, "stream": stream,
        });
        self.request("POST", "/v1/completions").json(&body)
    }

    /// Returns the runs of all agents.
    pub fn runs(&self) -> usize {
        self.agents.iter().map(|a| a.runs().len()).sum()
    }

    /// Returns another entry for the host list.
    pub fn other_entry(&self, name: &str, state: HostState) -> HostEntry {
        HostEntry {
            name: name.parse::<ProcessName>().unwrap(),
            callers: Some(free_port()),
            peer: free_port(),
            state,
            ..self.ctx.host_entry()
        }
    }

    /// Drains the entry and waits for its end.
    pub async fn drain(&mut self) {
        self.ctx.advance(Phase::Draining);
        let run = self.run.take().unwrap();
        let end = tokio::time::timeout(WAIT_MAX, run).await;
        end.expect("the entry ends").unwrap().unwrap();
    }
}

/// Returns the JSON body of an outcome and its status.
pub async fn outcome(resp: reqwest::Response) -> (u16, serde_json::Value) {
    let status = resp.status().as_u16();
    let body = resp.bytes().await.unwrap();
    let json = serde_json::from_slice(&body);
    (
        status,
        json.unwrap_or_else(|_| panic!("not JSON: {body:?}")),
    )
}
