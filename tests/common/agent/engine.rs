//! A model engine over HTTP that counts and can misbehave.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use serde_json::json;
use sesamewing::base::Digest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use super::http::{self, Request};

#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    pub(crate) version: Option<String>,
    /// Accepted load commands: version and fencing token.
    pub(crate) loads: Vec<(String, u64)>,
    /// Ids of requests that began.
    pub(crate) runs: Vec<String>,
    /// Ids and positions of resumed requests.
    pub(crate) resumes: Vec<(String, u64)>,
    pub(crate) cancelled: Vec<String>,
    /// Connections on which an answer was delivered whole.
    pub(crate) whole: u32,
    /// Tokens after which the next answer is cut.
    pub(crate) cut_after: Option<u64>,
    /// Token that the next answer leaves out.
    pub(crate) omit: Option<u64>,
    /// Cuts every answer after its head.
    pub(crate) always_cut: bool,
    /// Token from which on the next answer names this version.
    pub(crate) switch: Option<(u64, String)>,
    /// Sends a part of another request first.
    pub(crate) crossed: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) state: Arc<Mutex<State>>,
    /// Tokens that answers may deliver; answers wait beyond that.
    pub(crate) open: Arc<watch::Sender<u64>>,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            open: Arc::new(watch::Sender::new(u64::MAX)),
        }
    }
}

impl Engine {
    pub(crate) async fn serve(&self) -> SocketAddr {
        let this = self.clone();
        http::serve(move |req, stream| {
            let this = this.clone();
            async move { this.handle(req, stream).await }
        })
        .await
    }

    pub(crate) fn state(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap())
    }

    async fn handle(&self, req: Request, mut out: TcpStream) {
        let path = req.path.split('?').next().unwrap_or_default().to_owned();
        match (req.method.as_str(), path.as_str()) {
            ("GET", "/status") => {
                let body = json!({"version": self.state().version, "loading": null, "running": 0, "waiting": 0,
                    "capacity": 8, "tokens_per_second": 100});
                http::respond(&mut out, 200, body.to_string().as_bytes()).await;
            }
            ("GET", "/cache/events") => {
                http::respond(&mut out, 200, br#"{"next":0,"events":[]}"#).await;
            }
            ("PUT", "/orders/load") => self.load(&req, &mut out).await,
            ("POST", "/v1/completions") => {
                let body = req.json();
                let id = body["id"].as_str().expect("an id").to_owned();
                let tokens = body["max_tokens"].as_u64().expect("max_tokens");
                self.with(|s| s.runs.push(id.clone()));
                self.tokens(&id, 0, tokens, out).await;
            }
            ("POST", "/v1/resume") => {
                let body = req.json();
                let id = body["id"].as_str().expect("an id").to_owned();
                let from = body["from"].as_u64().expect("from");
                self.with(|s| s.resumes.push((id.clone(), from)));
                self.tokens(&id, from, 5, out).await;
            }
            ("DELETE", path) => {
                let id = path.rsplit('/').next().unwrap_or_default().to_owned();
                self.with(|s| s.cancelled.push(id));
                http::respond(&mut out, 200, b"").await;
            }
            _ => http::respond(&mut out, 404, b"").await,
        }
    }

    async fn load(&self, req: &Request, out: &mut TcpStream) {
        let version = req.header("order-version").expect("a version").to_owned();
        let fence = req
            .header("order-fence")
            .expect("a token")
            .parse()
            .expect("a number");
        let whole = req.header("order-hash").expect("a hash");
        assert_eq!(Digest::of(&req.body).to_string(), whole, "partial weights");
        let stale = self.with(|s| {
            let stale = s.loads.last().is_some_and(|(_, f)| *f > fence);
            if !stale {
                s.version = Some(version.clone());
                s.loads.push((version, fence));
            }
            stale
        });
        http::respond(out, if stale { 409 } else { 200 }, b"").await;
    }

    /// Streams tokens `from..to` as `w0 w1 ...`.
    async fn tokens(&self, id: &str, from: u64, to: u64, mut out: TcpStream) {
        let (version, cut, switch, crossed) = self.with(|s| {
            let version = s.version.clone().unwrap_or_default();
            let crossed = std::mem::take(&mut s.crossed);
            (version, s.cut_after.take(), s.switch.take(), crossed)
        });
        let headers = [
            ("Engine-Version", version.as_str()),
            ("Content-Type", "text/event-stream"),
        ];
        http::head(&mut out, 200, &headers).await;
        if self.state().always_cut {
            return;
        }
        if crossed {
            let other = json!({"id": "018bcfe5-6800-7000-8000-000000000000", "index": from, "text": "other ",
                "version": version});
            let _ = out.write_all(format!("data: {other}\n\n").as_bytes()).await;
        }
        let named = |i: u64| match &switch {
            Some((at, v)) if i >= *at => v.clone(),
            _ => version.clone(),
        };
        let omit = self.with(|s| s.omit.take());
        let mut open = self.open.subscribe();
        for i in (from..to).filter(|i| omit != Some(*i)) {
            if cut == Some(i) {
                return;
            }
            let mut byte = [0];
            tokio::select! {
                _ = open.wait_for(|n| *n > i) => {}
                _ = out.read(&mut byte) => return,
            }
            let event =
                json!({"id": id, "index": i, "text": format!("w{i} "), "version": named(i)});
            if out
                .write_all(format!("data: {event}\n\n").as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
        let last = json!({"done": true, "tokens": to, "version": named(to)});
        let _ = out.write_all(format!("data: {last}\n\n").as_bytes()).await;
        let _ = out.shutdown().await;
        self.with(|s| s.whole += 1);
    }
}
