//! A scripted agent.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use sesamewing::{
    base::{Digest, Instance, Millis, Offset, ProcessName, RequestId, VersionName},
    net::{Call, Incoming, Transport},
    wire::{
        self, AgentReport, AgentState, HostEntry, HostState, Reply, Role, RunRequest, SettleReply,
    },
};
use tokio::sync::watch;

use super::Certs;

/// What an agent does with a request.
pub type Script =
    Arc<dyn Fn(RunRequest, Call) -> futures_util::future::BoxFuture<'static, ()> + Send + Sync>;

pub struct Agent {
    name: ProcessName,
    peer: SocketAddr,
    transport: Transport,
    report: watch::Sender<AgentReport>,
    runs: Mutex<Vec<RunRequest>>,
    script: Mutex<Script>,
    /// Answer to settle calls; without one the stream is dropped.
    settle: Mutex<Option<SettleReply>>,
    settled: Mutex<u32>,
    /// Whether the agent is silent, with its connections open.
    frozen: AtomicBool,
    /// Whether the agent sends no reports; it still runs requests.
    muted: AtomicBool,
}

/// Frames of a whole answer with one token for each text.
pub fn whole(id: RequestId, version: Option<&str>, from: u32, texts: &[&str]) -> Vec<Reply> {
    let version: Option<VersionName> = version.map(|v| v.parse().unwrap());
    let mut out = vec![Reply::Head {
        id,
        status: 200,
        media: "text/plain".to_owned(),
        version: version.clone(),
    }];
    for (i, text) in texts.iter().enumerate() {
        out.push(Reply::Data {
            id,
            index: from + i as u32 + 1,
            data: text.as_bytes().to_vec().into(),
        });
    }
    let all = texts.concat();
    out.push(Reply::End {
        id,
        length: all.len() as u64,
        digest: Digest::of(all.as_bytes()),
        version,
    });
    out
}

/// Sends frames and ends the stream; without an end frame among them the answer is cut.
pub async fn reply(call: &mut Call, frames: Vec<Reply>) {
    for frame in frames {
        if call.tx.send(&frame).await.is_err() {
            return;
        }
    }
    call.tx.finish();
    call.tx.closed().await;
}

impl Agent {
    /// Starts an agent that answers `one two three four`, resumed where asked.
    pub fn start(certs: &Certs, name: &str, service: &str, version: Option<&str>) -> Arc<Self> {
        let transport = Transport::bind("127.0.0.1:0".parse().unwrap(), certs.files()).unwrap();
        let owned = version.map(str::to_owned);
        let script: Script = Arc::new(move |req, mut call| {
            let version = owned.clone();
            Box::pin(async move {
                let texts = ["one ", "two ", "three ", "four"];
                let rest = &texts[req.resume as usize..];
                let frames = whole(req.id, version.as_deref(), req.resume, rest);
                reply(&mut call, frames).await;
            })
        });
        let report = AgentReport {
            name: name.parse().unwrap(),
            instance: Instance::random(),
            sequence: 1,
            service: service.parse().unwrap(),
            state: AgentState::Serving,
            version: version.map(|v| v.parse().unwrap()),
            applied: Offset(0),
            running: 0,
            waiting: 0,
            capacity: 8,
            speed: 100,
            prefixes: Vec::new(),
        };
        let agent = Arc::new(Self {
            name: name.parse().unwrap(),
            peer: transport.local_addr().unwrap(),
            transport: transport.clone(),
            report: watch::Sender::new(report),
            runs: Mutex::default(),
            script: Mutex::new(script),
            settle: Mutex::default(),
            settled: Mutex::default(),
            frozen: AtomicBool::new(false),
            muted: AtomicBool::new(false),
        });
        let shared = agent.clone();
        tokio::spawn(async move {
            transport
                .serve(move |incoming| {
                    let agent = shared.clone();
                    async move { agent.handle(incoming).await }
                })
                .await;
        });
        agent
    }

    async fn handle(&self, incoming: Incoming) {
        let mut call = incoming.call;
        match incoming.open.call {
            wire::Call::Run(req) => {
                self.runs.lock().unwrap().push(req.clone());
                if self.is_frozen() {
                    std::future::pending::<()>().await;
                }
                let script = self.script.lock().unwrap().clone();
                script(req, call).await;
            }
            wire::Call::Watch(req) => {
                let mut rx = self.report.subscribe();
                loop {
                    if self.is_frozen() {
                        std::future::pending::<()>().await;
                    }
                    while self.muted.load(Ordering::SeqCst) {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    let report = rx.borrow_and_update().clone();
                    if call.tx.send(&report).await.is_err() {
                        return;
                    }
                    let changed = tokio::time::timeout(req.interval.duration() / 4, rx.changed());
                    if !matches!(changed.await, Ok(Ok(()))) {
                        self.report.send_modify(|r| r.sequence += 1);
                    }
                }
            }
            wire::Call::Settle(_) => {
                *self.settled.lock().unwrap() += 1;
                let reply = self.settle.lock().unwrap().clone();
                if let Some(reply) = reply {
                    call.tx.send(&reply).await.unwrap();
                    call.tx.finish();
                    call.tx.closed().await;
                }
            }
            // Like an agent that has no place for a further subscriber.
            wire::Call::Feed(_) => call.tx.finish(),
            other => panic!("unexpected call {other:?}"),
        }
    }

    pub fn host(&self) -> HostEntry {
        HostEntry {
            name: self.name.clone(),
            role: Role::Agent,
            region: "east".parse().unwrap(),
            zone: "east-a".parse().unwrap(),
            peer: self.peer,
            operator: "127.0.0.1:1".parse().unwrap(),
            callers: None,
            service: Some(self.report.borrow().service.clone()),
            state: HostState::Live,
        }
    }

    /// Stops reports and answers; connections stay open.
    pub fn freeze(&self) {
        self.frozen.store(true, Ordering::SeqCst);
    }

    /// Stops reports, or sends them again.
    pub fn mute(&self, muted: bool) {
        self.muted.store(muted, Ordering::SeqCst);
    }

    fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::SeqCst)
    }

    /// Returns the requests that arrived.
    pub fn runs(&self) -> Vec<RunRequest> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the number of settle calls that arrived.
    pub fn settled(&self) -> u32 {
        *self.settled.lock().unwrap()
    }

    /// Changes the report, which is pushed at once.
    pub fn set(&self, change: impl FnOnce(&mut AgentReport)) {
        self.report.send_modify(|r| {
            change(r);
            r.sequence += 1;
        });
    }

    pub fn set_settle(&self, reply: SettleReply) {
        *self.settle.lock().unwrap() = Some(reply);
    }

    /// Replaces what the agent does with requests.
    pub fn script<F>(&self, f: impl Fn(RunRequest, Call) -> F + Send + Sync + 'static)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        *self.script.lock().unwrap() = Arc::new(move |req, call| Box::pin(f(req, call)));
    }

    /// Ends the agent; its connections are closed.
    pub async fn kill(&self) {
        let _ = tokio::time::timeout(Duration::from_secs(5), self.transport.close()).await;
    }

    /// Answers each request with these frames.
    pub fn frames(&self, f: impl Fn(&RunRequest) -> Vec<Reply> + Send + Sync + 'static) {
        let f = Arc::new(f);
        self.script(move |req, mut call| {
            let f = f.clone();
            async move {
                let frames = f(&req);
                reply(&mut call, frames).await;
            }
        });
    }

    /// Refuses each request as not run.
    pub fn refuse(&self, reason: wire::NotRun) {
        self.frames(move |req| {
            vec![Reply::Failed {
                id: req.id,
                outcome: wire::RunOutcome::NotRun(reason),
                retry: Millis(200),
            }]
        });
    }
}
