//! Frames on QUIC streams.

use bytes::Bytes;
use quinn::{RecvStream, SendStream, VarInt};
use serde::{de::DeserializeOwned, Serialize};

use super::{traffic::Flow, NetError};
use crate::{
    base::Millis,
    wire::{self, CodecError, FRAME_PREFIX},
};

/// Error code of streams whose remaining frames nobody reads any more.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Sends frames; the stream is reset if it is dropped before [`FrameSender::finish`].
#[derive(Debug)]
pub struct FrameSender {
    stream: SendStream,
    finished: bool,
    flow: Flow,
}

impl FrameSender {
    pub(super) fn new(stream: SendStream, flow: Flow) -> Self {
        Self {
            stream,
            finished: false,
            flow,
        }
    }

    /// Counts the following messages elsewhere.
    pub(super) fn count_as(&mut self, flow: Flow) {
        self.flow = flow;
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too large or the peer stopped reading.
    pub async fn send<T: Serialize>(&mut self, msg: &T) -> Result<(), NetError> {
        let frame = wire::encode(msg)?;
        self.send_bytes(frame).await
    }

    /// Sends one message, giving up after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Timeout`] if the peer does not read in time.
    pub async fn send_within<T: Serialize>(
        &mut self,
        msg: &T,
        timeout: Millis,
    ) -> Result<(), NetError> {
        tokio::time::timeout(timeout.duration(), self.send(msg))
            .await
            .map_err(|_| NetError::Timeout(timeout))?
    }

    async fn send_bytes(&mut self, frame: Bytes) -> Result<(), NetError> {
        let size = frame.len();
        self.stream
            .write_chunk(frame)
            .await
            .map_err(|e| NetError::Lost(e.to_string()))?;
        self.flow.message(size);
        Ok(())
    }

    /// Ends the stream after all sent frames.
    pub fn finish(&mut self) {
        self.finished = self.stream.finish().is_ok();
    }

    /// Waits until the peer stops reading or the connection is lost.
    pub async fn closed(&self) {
        let _ = self.stream.stopped().await;
    }
}

impl Drop for FrameSender {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.stream.reset(CANCELLED);
        }
    }
}

/// Receives frames; the peer is told to stop sending when it is dropped.
#[derive(Debug)]
pub struct FrameReceiver {
    stream: RecvStream,
    flow: Flow,
}

impl FrameReceiver {
    pub(super) fn new(stream: RecvStream, flow: Flow) -> Self {
        Self { stream, flow }
    }

    /// Counts the following messages elsewhere.
    pub(super) fn count_as(&mut self, flow: Flow) {
        self.flow = flow;
    }

    /// Receives one message of at most `limit` bytes.
    ///
    /// Not safe to cancel: after a dropped call the stream must not be read further.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Timeout`] if the whole message does not arrive in time, [`NetError::Lost`] if the stream or
    /// the connection ended, and [`NetError::Codec`] for oversized and malformed messages.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
        limit: usize,
        timeout: Millis,
    ) -> Result<T, NetError> {
        let data = tokio::time::timeout(timeout.duration(), self.read(limit))
            .await
            .map_err(|_| NetError::Timeout(timeout))??;
        Ok(wire::decode(&data)?)
    }

    async fn read(&mut self, limit: usize) -> Result<Vec<u8>, NetError> {
        let lost = |e: quinn::ReadExactError| NetError::Lost(e.to_string());
        let mut prefix = [0; FRAME_PREFIX];
        self.stream.read_exact(&mut prefix).await.map_err(lost)?;
        let size = u32::from_be_bytes(prefix) as usize;
        if size > limit {
            return Err(CodecError::TooLarge { size, limit }.into());
        }
        let mut data = vec![0; size];
        self.stream.read_exact(&mut data).await.map_err(lost)?;
        self.flow.message(FRAME_PREFIX + size);
        Ok(data)
    }
}

impl Drop for FrameReceiver {
    fn drop(&mut self) {
        let _ = self.stream.stop(CANCELLED);
    }
}
