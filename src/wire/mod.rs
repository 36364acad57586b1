//! Messages between the system's own processes and their encoding.
//!
//! Each QUIC stream carries one exchange: the opening process sends an [`Open`] frame, and the other side sends frames
//! of the type that belongs to it. A frame is a 4-byte big-endian length and a `postcard` value.

mod chunk;
mod codec;
mod feed;
mod report;
mod run;
mod share;

pub use chunk::{ChunkReply, ChunkRequest, Have, HaveUpdate, PART_MAX};
pub use codec::{decode, encode, CodecError, FRAME_MAX, FRAME_PREFIX};
pub use feed::{FeedItem, FeedRecord, FeedRequest, HostEntry, HostState, Hosts, HostsUpdate, Role};
pub use report::{AgentReport, AgentState, WatchRequest};
pub use run::{NotRun, Reply, RunOutcome, RunRequest, SettleReply, SettleRequest};
pub use share::{ShareItem, ShareReply, ShareRequest};

use serde::{Deserialize, Serialize};

use crate::base::{Offset, ProcessName};

/// First frame on each stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// Process that opened the stream.
    pub sender: ProcessName,
    /// Offset of the control stream that the sender has applied; a receiver that is behind catches up from the sender.
    pub applied: Offset,
    /// What the stream is for.
    pub call: Call,
}

/// The purpose of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Runs a request; answered by [`Reply`] frames.
    Run(RunRequest),
    /// Decides the fate of an attempt whose agent was lost; answered by one [`SettleReply`].
    Settle(SettleRequest),
    /// Subscribes to an agent's reports; answered by [`AgentReport`] frames until the stream closes.
    Watch(WatchRequest),
    /// Subscribes to the control stream; answered by [`FeedItem`] frames until the stream closes.
    Feed(FeedRequest),
    /// Subscribes to an agent's chunk availability; answered by [`HaveUpdate`] frames until the stream closes.
    Have(Have),
    /// Fetches a chunk or a manifest; answered by [`ChunkReply`] frames.
    Chunk(ChunkRequest),
    /// Asks another entry for shares of workspace limits; answered by one [`ShareReply`].
    Share(ShareRequest),
}
