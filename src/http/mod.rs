//! HTTP/1.1 connections to endpoints, to the platform and between processes, for a single-threaded runtime.

mod accepted;
mod call;
mod callers;
mod connect;
mod framing;
mod guarded;
mod head_timer;
mod lingering;
mod log_event;
mod pool;
mod server;
mod tcp_info;

pub use call::{call, call_once, get, BodyCut, CallError, CallLimit, HeadReceived, BODY_MAX};
pub use callers::{Callers, HeldBody, Shed, UnreadResponse};
pub use connect::{connect, Connection};
pub(crate) use framing::{has_unknown_coding, is_final};
pub use pool::Pool;
pub use server::{listen, Listener, ServeOptions};
