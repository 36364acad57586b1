//! Log records and their encoding.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{claim::Outcome, config::NodePath, config::Values};
use crate::base::{
    Attempt, Digest, Fence, Instance, Millis, Offset, ProcessName, RecordId, RequestId,
};

/// Largest encoded record, in bytes.
pub const RECORD_MAX: usize = 256 * 1024;

/// Schema version that this build writes and the newest one that it applies.
pub const SCHEMA: u16 = 1;

/// First bytes of each record; other records belong to other programs.
const MAGIC: [u8; 4] = *b"SWR1";

/// Bytes before the body: magic, schema (big-endian) and record id (big-endian).
const HEADER: usize = 4 + 2 + 16;

/// A record as it was read from the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// Wall-clock time that the log service stamped on the record, in Unix milliseconds.
    pub time: Millis,
    /// Encoded [`Record`].
    pub data: Bytes,
}

/// A record that this system writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Equal for all appends of the same record, so that a repeated append applies once.
    pub id: RecordId,
    /// What the record does.
    pub body: Body,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Changes the settings tree.
    Publish(Publish),
    /// Changes a lease.
    Lease(LeaseOp),
    /// Claims attempts of non-repeatable requests.
    Claims(Vec<Claim>),
    /// Voids attempts.
    Voids(Vec<Void>),
    /// Stores outcomes of claimed attempts.
    Done(Vec<Done>),
    /// Changes the time for which request ids are kept.
    Window(Window),
}

/// The kind of a [`Body`], for statistics and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyKind {
    /// A settings change.
    Publish,
    /// A lease operation.
    Lease,
    /// A claim, void or outcome.
    Claim,
}

impl Body {
    /// Returns the kind of this body.
    pub fn kind(&self) -> BodyKind {
        match self {
            Self::Publish(_) => BodyKind::Publish,
            Self::Lease(_) => BodyKind::Lease,
            Self::Claims(_) | Self::Voids(_) | Self::Done(_) | Self::Window(_) => BodyKind::Claim,
        }
    }
}

/// A change of the settings tree, applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Who made the change, for conflict messages.
    pub author: String,
    /// The revision of each node that the change was made against; offset 0 for a node that did not exist.
    pub base: Vec<(NodePath, Offset)>,
    /// New values of each changed node; `None` removes the node and everything below it.
    pub nodes: Vec<(NodePath, Option<Values>)>,
}

/// An operation on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOp {
    /// Takes a free lease; the offset of this record becomes the fencing token.
    Acquire {
        /// What is leased, for example an endpoint.
        resource: String,
        /// Name of the process that holds the lease.
        holder: ProcessName,
        /// Run of the process that holds the lease.
        instance: Instance,
        /// Time after which the holder stops using the lease unless it renewed it.
        term: Millis,
    },
    /// Extends a held lease by its term.
    Renew {
        /// What is leased.
        resource: String,
        /// Token of the lease.
        fence: Fence,
    },
    /// Gives a lease back.
    Release {
        /// What is leased.
        resource: String,
        /// Token of the lease.
        fence: Fence,
    },
    /// Ends the lease of a holder that stopped renewing.
    Expire(Expire),
}

/// Ends a lease, provided that no later renewal than the named one is in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expire {
    /// What is leased.
    pub resource: String,
    /// Token of the lease.
    pub fence: Fence,
    /// Offset of the last acquisition or renewal that the writer saw.
    pub seen: Offset,
}

/// Claims one attempt of a request for one run of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request id.
    pub request: RequestId,
    /// Hash of the request, so that a reused id with other content is found.
    pub digest: Digest,
    /// Attempt number.
    pub attempt: Attempt,
    /// Agent that runs the attempt if this claim is the first record for it.
    pub holder: ProcessName,
    /// Run of that agent.
    pub instance: Instance,
}

/// Voids one attempt, so that it can never run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// Request id.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: Attempt,
    /// Run of the process that voids; only the claiming instance may void after its own claim.
    pub instance: Instance,
}

/// Sets the time for which request ids are kept; written to the claims stream when the setting changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Time for which ids are kept.
    pub window: Millis,
    /// Offset of the control stream that the setting is from; an older one than in force has no effect.
    pub revision: Offset,
}

/// Stores the outcome of a claimed attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Request id.
    pub request: RequestId,
    /// Attempt number.
    pub attempt: Attempt,
    /// Run of the agent that claimed the attempt.
    pub instance: Instance,
    /// What the endpoint answered.
    pub outcome: Outcome,
}

/// Why bytes from the log are not a record that this build applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Another program wrote the record.
    #[error("the record was not written by sesamewing; check who else writes to the stream")]
    Foreign,
    /// The record cannot be decoded.
    #[error("the record is malformed; check the writer's version")]
    Malformed,
    /// The record is larger than [`RECORD_MAX`].
    #[error("the record is larger than {RECORD_MAX} bytes; split it")]
    TooLarge,
    /// The record has a newer schema; to skip it would lead to a different state than that of newer processes.
    #[error("the record has schema {0}, this build applies up to {SCHEMA}; update this process")]
    Newer(u16),
}

impl Record {
    /// Creates a record with a new id.
    pub fn new(body: Body) -> Self {
        Self {
            id: RecordId::random(),
            body,
        }
    }

    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::TooLarge`] if the result exceeds [`RECORD_MAX`].
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        let mut out = Vec::with_capacity(128);
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&SCHEMA.to_be_bytes());
        out.extend_from_slice(&self.id.0.to_be_bytes());
        let out = postcard::to_extend(&self.body, out).map_err(|_| RecordError::Malformed)?;
        if out.len() > RECORD_MAX {
            return Err(RecordError::TooLarge);
        }
        Ok(out.into())
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error for foreign, malformed, oversized or newer records.
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        if data.len() > RECORD_MAX {
            return Err(RecordError::TooLarge);
        }
        if data.get(..4) != Some(&MAGIC[..]) {
            return Err(RecordError::Foreign);
        }
        let header = data.get(4..HEADER).ok_or(RecordError::Malformed)?;
        let schema = u16::from_be_bytes([header[0], header[1]]);
        if schema > SCHEMA {
            return Err(RecordError::Newer(schema));
        }
        let id = header[2..].try_into().map_err(|_| RecordError::Malformed)?;
        let (body, rest) =
            postcard::take_from_bytes(&data[HEADER..]).map_err(|_| RecordError::Malformed)?;
        if !rest.is_empty() {
            return Err(RecordError::Malformed);
        }
        Ok(Self {
            id: RecordId(u128::from_be_bytes(id)),
            body,
        })
    }
}
