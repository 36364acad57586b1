//! A process inside the test: its context, its operator API and, optionally, its feed.

use sesamewing::{
    base::{Percent, Rate, Size},
    feed::follow,
    net::TlsFiles,
    observe::OperatorApi,
    process::{Context, Links, ProcessSettings},
    wire::{HostEntry, Role},
};

use super::{platform::Platform, Certificates, ANY};

/// A process that only operators see.
pub(crate) struct Node {
    pub(crate) ctx: Context,
    pub(crate) api: OperatorApi,
}

impl Node {
    /// Starts a process and adds it to the host list; without `feed` it never applies a record.
    pub(crate) async fn start(name: &str, p: &Platform, certs: &Certificates, feed: bool) -> Self {
        let dir = certs.folder();
        let settings = ProcessSettings {
            name: name.parse().expect("a name"),
            role: Role::Entry,
            region: "east".parse().expect("a region"),
            zone: "east-a".parse().expect("a zone"),
            peer: ANY,
            operator: ANY,
            callers: Some(ANY),
            guard: None,
            seeds: Vec::new(),
            platform: p.url.clone(),
            tls: TlsFiles {
                authority: dir.join("ca.pem"),
                certificate: dir.join("node.pem"),
                key: dir.join("node.key"),
            },
            endpoint: None,
            links: Links {
                down: Rate(0),
                up: Rate(0),
                weights: Percent(0),
                memory: Size(0),
            },
        };
        let ctx = Context::start(settings).expect("a context");
        let api = OperatorApi::start(&ctx).await.expect("it listens");
        if feed {
            tokio::spawn(follow(ctx.replica.clone(), ctx.platform.clone()));
        }
        let node = Self { ctx, api };
        p.list(node.host_entry());
        node
    }

    /// Describes the process with the address that its operator API was given.
    pub(crate) fn host_entry(&self) -> HostEntry {
        HostEntry {
            operator: self.api.address,
            ..self.ctx.host_entry()
        }
    }
}
