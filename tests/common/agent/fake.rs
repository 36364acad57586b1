//! An endpoint in the test's process that counts what reaches it.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc, Mutex,
};

use sesamewing::{
    base::{Fence, Millis, RequestId},
    endpoint::{CacheEvents, Endpoint, EndpointError, EndpointStatus, Head, LoadOrder, Part, Run},
    wire::RunRequest,
};
use tokio::sync::watch;

/// What happens to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Answer,
    /// The connection is not opened.
    Unreachable,
    /// The request runs and its answer is lost.
    Lose,
    /// The answer names another request.
    Crossed,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) mode: Mode,
    /// Ids of requests that ran.
    pub(crate) runs: Vec<RequestId>,
    pub(crate) status: EndpointStatus,
    /// Load commands with their tokens and the reading of `time`.
    pub(crate) loads: Vec<(String, Fence, u64)>,
    pub(crate) time: Arc<AtomicU64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Fake {
    pub(crate) state: Arc<Mutex<State>>,
    /// Answers wait until this is set.
    pub(crate) open: Arc<watch::Sender<bool>>,
}

impl Default for Fake {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            open: Arc::new(watch::Sender::new(true)),
        }
    }
}

impl Fake {
    pub(crate) fn set(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub(crate) fn runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }
}

pub(crate) struct FakeRun {
    head: Head,
    parts: Vec<Part>,
}

impl Run for FakeRun {
    fn head(&self) -> &Head {
        &self.head
    }

    async fn next(&mut self, _limit: Millis) -> Result<Part, EndpointError> {
        self.parts
            .pop()
            .ok_or_else(|| EndpointError::Lost("end".to_owned()))
    }
}

impl Endpoint for Fake {
    type Run = FakeRun;

    async fn run(&self, req: &RunRequest, _limit: Millis) -> Result<FakeRun, EndpointError> {
        let mode = {
            let mut state = self.state.lock().unwrap();
            if state.mode == Mode::Unreachable {
                return Err(EndpointError::NotSent("fault".to_owned()));
            }
            state.runs.push(req.id);
            state.mode
        };
        let _ = self.open.subscribe().wait_for(|o| *o).await;
        if mode == Mode::Lose {
            return Err(EndpointError::Lost("fault".to_owned()));
        }
        let id = match mode {
            Mode::Crossed => Some(RequestId::now()),
            _ => Some(req.id),
        };
        let data = Part::Data {
            id,
            index: 0,
            version: None,
            data: req.id.to_string().into(),
        };
        let end = Part::End {
            id,
            tokens: None,
            version: None,
        };
        let head = Head {
            status: 200,
            media: "text/plain".to_owned(),
            version: None,
            id,
        };
        Ok(FakeRun {
            head,
            parts: vec![end, data],
        })
    }

    async fn resume(&self, _: &RunRequest, _: u32, _: Millis) -> Result<FakeRun, EndpointError> {
        Err(EndpointError::Missing)
    }

    async fn cancel(&self, _: RequestId) {}

    async fn status(&self) -> Result<EndpointStatus, EndpointError> {
        Ok(self.state.lock().unwrap().status.clone())
    }

    async fn load(&self, order: LoadOrder) -> Result<(), EndpointError> {
        let mut state = self.state.lock().unwrap();
        let version = order.version.to_string();
        let at = state.time.load(Ordering::SeqCst);
        state.loads.push((version, order.fence, at));
        state.status.version = Some(order.version);
        Ok(())
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError> {
        Ok(CacheEvents {
            next: from,
            prefixes: Vec::new(),
        })
    }

    async fn drained(&self) -> Result<bool, EndpointError> {
        Ok(true)
    }
}
