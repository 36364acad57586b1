//! An accepted request, as all that serves it sees it.

use std::rc::Rc;

use bytes::Bytes;
use hyper::{
    header::{HeaderMap, HeaderValue},
    Method, Uri,
};

use super::catalog::Route;
use crate::{
    base::{Millis, Service},
    decide::{numbering::EventId, quarantine::PartKey, residency::Residency, worth::Group},
    http::HeldBody,
};

/// An accepted request with everything that its attempts at endpoints need.
#[derive(Debug)]
pub(super) struct Job {
    /// Id that the caller gave the request; endpoints echo it.
    pub(super) id: HeaderValue,
    pub(super) route: Rc<Route>,
    pub(super) service: Service,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Request headers for the endpoint, without those that differ between attempts.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Keeps the memory of the body counted.
    pub(super) held: Option<HeldBody>,
    pub(super) model: Option<Rc<str>>,
    /// Parts of the prompt that other requests may share.
    pub(super) parts: Vec<PartKey>,
    /// Number of tokens in the prompt; 0 if unknown.
    pub(super) prompt_tokens: u32,
    /// Largest number of tokens that the output may have; 0 if unknown.
    pub(super) output_max: u32,
    /// Number of output tokens that the caller expects.
    pub(super) output_hint: Option<u32>,
    pub(super) start: Millis,
    /// Start, or the first rejection of the caller if it returns after one.
    pub(super) first_at: Millis,
    /// Route and workspace, as the floors of their shares of slots know them.
    pub(super) groups: Vec<Group>,
    /// When the request times out: the earlier one of the caller's deadline and the end of the route's timeout.
    pub(super) deadline: Millis,
    /// Last event of the stream that the caller already has; set if it resumes a stream.
    pub(super) last_event: Option<EventId>,
    /// When the caller stops waiting; `None` if it didn't say so.
    pub(super) caller_deadline: Option<Millis>,
    /// Whether the caller returns after a rejection by this entry or by another one.
    pub(super) returning: bool,
    /// Priority of the workspace, or else of the route; 0 is the most urgent.
    pub(super) priority: u8,
    /// Where the request may be served.
    pub(super) residency: Residency,
}

impl Job {
    /// Returns the request id as text for logs; `?` if it is not printable ASCII.
    pub(super) fn id(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }
}
