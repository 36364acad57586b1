//! The platform over HTTP, with an in-memory log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use sesamewing::{
    backing::{Log, PlatformError, Stream},
    base::{Digest, Millis, Offset, Size, VersionName},
    kernel::{Body, NodePath, Publish},
    weights::Manifest,
    wire::HostEntry,
};
use tokio::net::TcpStream;

use super::{
    http::{self, Request},
    log::MemLog,
};

#[derive(Clone, Debug, Default)]
pub(crate) struct Platform {
    pub(crate) log: MemLog,
    pub(crate) hosts: Arc<Mutex<BTreeMap<String, HostEntry>>>,
    /// Manifests and chunks by hash.
    content: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
}

impl Platform {
    pub(crate) async fn serve(&self) -> SocketAddr {
        let this = self.clone();
        http::serve(move |req, stream| {
            let this = this.clone();
            async move { this.handle(req, stream).await }
        })
        .await
    }

    /// Stores a version and returns the hash of its manifest.
    pub(crate) fn store(&self, version: &str, data: &[u8]) -> Digest {
        let version: VersionName = version.parse().expect("a name");
        let manifest = Manifest::describe(version, data, Size(1000)).encode();
        let id = Digest::of(&manifest);
        let mut content = self.content.lock().unwrap();
        for chunk in data.chunks(1000) {
            content.insert(Digest::of(chunk).to_string(), chunk.to_vec());
        }
        content.insert(id.to_string(), manifest);
        id
    }

    /// Replaces a stored chunk or manifest by other bytes.
    pub(crate) fn corrupt(&self, id: Digest) {
        let mut content = self.content.lock().unwrap();
        content.insert(id.to_string(), b"corrupted".to_vec());
    }

    /// Publishes the settings of a service.
    pub(crate) fn publish(&self, path: &str, base: Offset, values: &[(&str, &str)]) -> Offset {
        let path: NodePath = path.parse().expect("a path");
        let values = values.iter().map(|(k, v)| ((*k).into(), (*v).into()));
        self.log.put(
            Stream::Control,
            Body::Publish(Publish {
                author: "test".to_owned(),
                base: vec![(path.clone(), base)],
                nodes: vec![(path, Some(values.collect()))],
            }),
        )
    }

    async fn handle(&self, req: Request, mut out: TcpStream) {
        let path = req.path.split('?').next().unwrap_or_default().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        let result = match (req.method.as_str(), &parts[..]) {
            (method, ["log", name]) => self.log_call(method, stream(name), &req).await,
            ("GET", ["hosts"]) => {
                let hosts: Vec<_> = self.hosts.lock().unwrap().values().cloned().collect();
                Ok(serde_json::json!({"hosts": hosts}).to_string().into())
            }
            ("PUT", ["hosts", name]) => {
                let entry = serde_json::from_slice(&req.body).expect("a host entry");
                self.hosts.lock().unwrap().insert((*name).into(), entry);
                Ok(Vec::new())
            }
            ("DELETE", ["hosts", name]) => {
                self.hosts.lock().unwrap().remove(*name);
                Ok(Vec::new())
            }
            ("GET", ["weights", _, id]) => {
                let found = self.content.lock().unwrap().get(*id).cloned();
                found.ok_or(404)
            }
            _ => Err(404),
        };
        match result {
            Ok(body) => http::respond(&mut out, 200, &body).await,
            Err(status) => http::respond(&mut out, status, b"").await,
        }
    }

    async fn log_call(&self, method: &str, stream: Stream, req: &Request) -> Result<Vec<u8>, u16> {
        let status = |e: PlatformError| -> u16 {
            match e {
                PlatformError::Refused(_) => 503,
                _ => 500,
            }
        };
        if method == "POST" {
            let offset = self.log.append(stream, req.body.clone().into()).await;
            let offset = offset.map_err(status)?;
            return Ok(serde_json::json!({"offset": offset}).to_string().into());
        }
        let from = Offset(req.query("from").unwrap_or(1));
        let wait = Millis(req.query("wait_ms").unwrap_or(0));
        let max = req.query("max").unwrap_or(100) as usize;
        let page = self
            .log
            .read(stream, from, max, wait)
            .await
            .map_err(status)?;
        let records: Vec<_> = page
            .records
            .iter()
            .map(|e| serde_json::json!({"offset": e.offset, "time_ms": e.time, "data": hex::encode(&e.data)}))
            .collect();
        let body = serde_json::json!({"first": page.first, "next": page.next, "records": records});
        Ok(body.to_string().into())
    }
}

fn stream(name: &str) -> Stream {
    match name {
        "control" => Stream::Control,
        "claims" => Stream::Claims,
        _ => Stream::Snapshots,
    }
}
