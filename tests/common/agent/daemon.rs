//! An agent daemon in the test's process, and a client of it.

use std::net::{Ipv4Addr, SocketAddr};

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use sesamewing::{
    base::{Attempt, Millis, Offset, Percent, Rate, RequestId, Size},
    net::{Call, TlsFiles, Transport, SERVER_NAME},
    process::{Context, EndpointKind, EndpointSettings, Fencing, Links, ProcessSettings},
    wire::{self, Open, Reply, Role, RunRequest, FRAME_MAX},
};
use tempfile::TempDir;

use super::within;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Writes an authority and a certificate of it.
pub(crate) fn tls(dir: &TempDir) -> TlsFiles {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    let ca = CertifiedIssuer::self_signed(params, key).expect("an authority");
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new([SERVER_NAME.to_owned()]).expect("a name");
    let cert = params.signed_by(&key, &ca).expect("a certificate");
    let write = |name: &str, text: String| {
        let file = dir.path().join(name);
        std::fs::write(&file, text).expect("a writable directory");
        file
    };
    TlsFiles {
        authority: write("ca.pem", ca.pem()),
        certificate: write("node.pem", cert.pem()),
        key: write("node.key", key.serialize_pem()),
    }
}

pub(crate) fn settings(
    name: &str,
    kind: EndpointKind,
    platform: SocketAddr,
    endpoint: SocketAddr,
    tls: TlsFiles,
) -> ProcessSettings {
    let rate = Rate(2_500_000);
    ProcessSettings {
        name: name.parse().expect("a name"),
        role: Role::Agent,
        region: "east".parse().expect("a name"),
        zone: "east-a".parse().expect("a name"),
        peer: ANY,
        operator: ANY,
        callers: None,
        guard: Some(ANY),
        seeds: Vec::new(),
        platform: format!("http://{platform}"),
        tls,
        endpoint: Some(EndpointSettings {
            kind,
            address: format!("http://{endpoint}"),
            service: "drafts".parse().expect("a name"),
            fencing: Fencing::Checked,
        }),
        links: Links {
            down: rate,
            up: rate,
            weights: Percent(80),
            memory: Size(1 << 20),
        },
    }
}

pub(crate) fn request(version: Option<&str>, tokens: u32) -> RunRequest {
    RunRequest {
        id: RequestId::now(),
        service: "drafts".parse().expect("a name"),
        workspace: "ws".parse().expect("a name"),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        media: "application/json".to_owned(),
        body: format!(r#"{{"prompt":"p","max_tokens":{tokens}}}"#).into(),
        version: version.map(|v| v.parse().expect("a name")),
        remaining: Millis(20_000),
        priority: 1,
        attempt: version.is_none().then_some(Attempt(1)),
        resume: 0,
    }
}

/// The role of an entry towards one agent.
pub(crate) struct Client {
    transport: Transport,
    peer: SocketAddr,
    /// Applied offset that the client claims to have.
    pub(crate) applied: Offset,
}

impl Client {
    pub(crate) fn new(ctx: &Context) -> Self {
        let transport = Transport::bind(ANY, ctx.settings.tls.clone()).expect("a free port");
        Self {
            transport,
            peer: ctx.transport.local_addr().expect("a bound address"),
            applied: Offset(0),
        }
    }

    pub(crate) async fn call(&self, call: wire::Call) -> Call {
        let open = Open {
            sender: "entry".parse().expect("a name"),
            applied: self.applied,
            call,
        };
        let call = self.transport.call(self.peer, &open);
        within("a connection", call).await.expect("a connection")
    }

    /// Runs a request and collects all replies.
    pub(crate) async fn run(&self, req: &RunRequest) -> Vec<Reply> {
        let mut call = self.call(wire::Call::Run(req.clone())).await;
        rest(&mut call).await
    }
}

/// Collects the replies up to the last one.
pub(crate) async fn rest(call: &mut Call) -> Vec<Reply> {
    let mut out = Vec::new();
    loop {
        let reply = next(call).await;
        let last = matches!(reply, Reply::End { .. } | Reply::Failed { .. });
        out.push(reply);
        if last {
            return out;
        }
    }
}

pub(crate) async fn next(call: &mut Call) -> Reply {
    call.rx
        .next(FRAME_MAX, Millis(30_000))
        .await
        .expect("a reply")
}

/// Joins the data of replies.
pub(crate) fn text(replies: &[Reply]) -> String {
    let data = replies.iter().filter_map(|r| match r {
        Reply::Data { data, .. } => Some(String::from_utf8_lossy(data).into_owned()),
        _ => None,
    });
    data.collect()
}
