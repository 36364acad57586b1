//! Faults that tests inject into the stand-ins.

use std::{
    net::SocketAddr,
    panic,
    str::FromStr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rocket::{
    fairing::{Fairing, Info, Kind},
    http::{uri::Origin, Method, Status},
    request::{FromRequest, Outcome},
    serde::json::Json,
    Data, Request, Response, Route, State,
};
use serde::Deserialize;
use sesamewing::base::{lock, HashMap, HashSet};
use tokio::sync::{watch, Notify};

/// Time after which a connection without requests counts as closed; the idle time of common client pools.
const IDLE: Duration = Duration::from_secs(90);

/// Paths that faults never affect, because tests observe and steer the stand-in through them.
const EXEMPT: [&str; 4] = ["/faults", "/stats", "/runs", "/orders"];

/// A fault of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests have no effect: value 0 answers 503, value 1 closes the connection.
    Outage,
    /// Requests wait `value` ms before they take effect.
    Slow,
    /// The next `value` requests other than GET take effect, but the connection closes without an answer.
    LostAnswer,
    /// The next `value` chunk answers carry a changed byte.
    CorruptChunk,
    /// Weight bytes stop without closing the connection.
    StalledLink,
    /// Connections that are open now get no further byte, also for answers in progress; new connections work. When the
    /// fault is cleared, waiting requests end without an answer and bodies in progress end early.
    Silent,
    /// Host list or endpoint status stay as last reported.
    FreezeReports,
}

impl Fault {
    const ALL: [(&'static str, Self); 7] = [
        ("outage", Self::Outage),
        ("slow", Self::Slow),
        ("lost-answer", Self::LostAnswer),
        ("corrupt-chunk", Self::CorruptChunk),
        ("stalled-link", Self::StalledLink),
        ("silent", Self::Silent),
        ("freeze-reports", Self::FreezeReports),
    ];

    /// Returns the name in the HTTP API.
    pub fn name(self) -> &'static str {
        let named = Self::ALL.iter().find(|(_, f)| *f == self);
        named.map_or("unknown", |(name, _)| name)
    }
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(s: &str) -> Result<Self, FaultError> {
        let found = Self::ALL.iter().find(|(name, _)| *name == s);
        found
            .map(|(_, fault)| *fault)
            .ok_or_else(|| FaultError::Unknown(s.chars().take(64).collect()))
    }
}

/// A fault that cannot be injected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultError {
    /// There is no fault of this name.
    Unknown(String),
    /// This stand-in does not have the fault.
    Unsupported(Fault),
}

impl std::fmt::Display for FaultError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unknown(name) => {
                let names: Vec<_> = Fault::ALL.iter().map(|(name, _)| *name).collect();
                write!(f, "unknown fault `{name}`; use one of {}", names.join(", "))
            }
            Self::Unsupported(fault) => write!(
                f,
                "this stand-in does not have the fault `{}`; inject it into the other kind of stand-in",
                fault.name()
            ),
        }
    }
}

impl std::error::Error for FaultError {}

#[derive(Debug)]
struct Active {
    fault: Fault,
    /// Prefix of the affected paths.
    target: String,
    value: u64,
}

#[derive(Debug, Default)]
struct Table {
    active: Vec<Active>,
    /// Time of the last request on each connection, by the client's address.
    seen: HashMap<SocketAddr, Instant>,
    silent: HashSet<SocketAddr>,
}

/// The faults of one server.
#[derive(Debug)]
pub(crate) struct Faults {
    supported: &'static [Fault],
    table: Mutex<Table>,
    changed: Notify,
}

impl Faults {
    pub(crate) fn new(supported: &'static [Fault]) -> Self {
        Self {
            supported,
            table: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    /// Injects a fault; the same fault on the same target gets the new value.
    pub(crate) fn set(&self, fault: Fault, target: &str, value: u64) -> Result<(), FaultError> {
        if !self.supported.contains(&fault) {
            return Err(FaultError::Unsupported(fault));
        }
        let mut t = self.table();
        if fault == Fault::Silent {
            t.silent = t.seen.keys().copied().collect();
        }
        t.active.retain(|a| a.fault != fault || a.target != target);
        t.active.push(Active {
            fault,
            target: target.to_owned(),
            value,
        });
        drop(t);
        self.changed.notify_waiters();
        Ok(())
    }

    pub(crate) fn clear(&self) {
        let mut t = self.table();
        t.active.clear();
        t.silent.clear();
        drop(t);
        self.changed.notify_waiters();
    }

    /// Returns the value of a fault that affects a path.
    pub(crate) fn find(&self, fault: Fault, path: &str) -> Option<u64> {
        let t = self.table();
        let mut active = t.active.iter();
        active
            .find(|a| a.fault == fault && path.starts_with(&a.target))
            .map(|a| a.value)
    }

    /// Uses up one of the `value` occurrences of a fault.
    pub(crate) fn take(&self, fault: Fault, path: &str) -> bool {
        let mut t = self.table();
        let mut active = t.active.iter_mut();
        let found = active.find(|a| a.fault == fault && a.value > 0 && path.starts_with(&a.target));
        found.map(|a| a.value -= 1).is_some()
    }

    /// Waits as long as a condition on the faults holds.
    pub(crate) async fn wait_while(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !holds(self) {
                return;
            }
            changed.await;
        }
    }

    fn see(&self, remote: SocketAddr) {
        let mut t = self.table();
        let now = Instant::now();
        if t.seen.insert(remote, now).is_none() {
            t.seen.retain(|_, last| now - *last < IDLE);
        }
    }

    fn is_silent(&self, remote: SocketAddr) -> bool {
        self.table().silent.contains(&remote)
    }

    /// Passes unless the connection is silent; then waits for the end of the fault and closes the connection.
    async fn pass(&self, remote: Option<SocketAddr>) {
        let Some(remote) = remote else { return };
        if !self.is_silent(remote) {
            return;
        }
        self.wait_while(|f| f.is_silent(remote)).await;
        close_connection();
    }
}

/// Ends the task of the current request, upon which the server closes the connection if it has not answered yet.
///
/// In a body stream, Rocket instead ends the body early as if it were whole.
/// Rocket has no other way to give no answer: each result of a handler, also a panic, becomes a response. Fairings
/// and body streams run outside of the handler, and `resume_unwind` prints no panic message.
fn close_connection() -> ! {
    panic::resume_unwind(Box::new("connection closed by a fault"))
}

fn exempt(path: &str) -> bool {
    EXEMPT.contains(&path)
}

/// Counts a request as in progress until the request is dropped.
struct Busy(Arc<watch::Sender<usize>>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

/// Applies the faults that affect any request.
pub(crate) struct Injector {
    faults: Arc<Faults>,
    busy: Arc<watch::Sender<usize>>,
}

impl Injector {
    pub(crate) fn new(faults: Arc<Faults>, busy: watch::Sender<usize>) -> Self {
        let busy = Arc::new(busy);
        Self { faults, busy }
    }
}

#[rocket::async_trait]
impl Fairing for Injector {
    fn info(&self) -> Info {
        Info {
            name: "faults",
            kind: Kind::Request | Kind::Response,
        }
    }

    async fn on_request(&self, req: &mut Request<'_>, _: &mut Data<'_>) {
        req.local_cache(|| {
            self.busy.send_modify(|n| *n += 1);
            Busy(self.busy.clone())
        });
        let path = req.uri().path().to_string();
        if let Some(remote) = req.remote() {
            self.faults.see(remote);
        }
        if exempt(&path) {
            return;
        }
        self.faults.pass(req.remote()).await;
        if let Some(ms) = self.faults.find(Fault::Slow, &path) {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        match self.faults.find(Fault::Outage, &path) {
            Some(0) => {
                req.set_method(Method::Get);
                req.set_uri(Origin::parse("/faults/outage").expect("a valid path"));
            }
            Some(_) => close_connection(),
            None => {}
        }
    }

    async fn on_response<'r>(&self, req: &'r Request<'_>, resp: &mut Response<'r>) {
        let path = req.uri().path().to_string();
        if exempt(&path) {
            return;
        }
        self.faults.pass(req.remote()).await;
        if req.method() == Method::Get {
            // A long poll that began before the outage gets no records.
            if self.faults.find(Fault::Outage, &path).is_some() {
                *resp = Response::build()
                    .status(Status::ServiceUnavailable)
                    .finalize();
            }
        } else if self.faults.take(Fault::LostAnswer, &path) {
            close_connection();
        }
    }
}

/// Lets body streams stop when their connection is silent.
pub(crate) struct Gate {
    faults: Arc<Faults>,
    remote: Option<SocketAddr>,
}

impl Gate {
    /// Waits until the body may go on.
    pub(crate) async fn pass(&self) {
        self.faults.pass(self.remote).await;
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Gate {
    type Error = ();

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(faults) = req.rocket().state::<Arc<Faults>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        Outcome::Success(Self {
            faults: faults.clone(),
            remote: req.remote(),
        })
    }
}

#[derive(Deserialize)]
struct Order {
    fault: String,
    #[serde(default)]
    target: String,
    value: Option<u64>,
}

#[rocket::post("/faults", data = "<order>")]
fn set(
    faults: &State<Arc<Faults>>,
    order: Result<Json<Order>, rocket::serde::json::Error<'_>>,
) -> (Status, String) {
    let result = order.map_err(|e| e.to_string()).and_then(|o| {
        let fault: Fault = o.fault.parse().map_err(|e: FaultError| e.to_string())?;
        let counted = matches!(fault, Fault::LostAnswer | Fault::CorruptChunk);
        let value = o.value.unwrap_or(counted.into());
        faults
            .set(fault, &o.target, value)
            .map_err(|e| e.to_string())
    });
    match result {
        Ok(()) => (Status::Ok, String::new()),
        Err(e) => (Status::BadRequest, e),
    }
}

#[rocket::delete("/faults")]
fn clear(faults: &State<Arc<Faults>>) {
    faults.clear();
}

#[rocket::get("/faults/outage")]
fn outage() -> (Status, &'static str) {
    (Status::ServiceUnavailable, "outage by fault injection")
}

pub(crate) fn routes() -> Vec<Route> {
    rocket::routes![set, clear, outage]
}
