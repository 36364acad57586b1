//! Opens connections that notice a silent peer.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        http1::{self, SendRequest},
        TrySendError,
    },
    Request, Response,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::guarded::Guarded;
use crate::{base::Millis, decide::silence::SILENCE};

/// Time without traffic after which the kernel probes the peer, and time between its probes.
const PROBE: Duration = Duration::from_secs(1);

/// Largest response head, and smallest buffer that hyper accepts, in bytes.
const BUFFER: usize = 16 << 10;

/// A connection on which one request at a time is sent.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Number of requests that were sent on it, with the present one.
    requests: u64,
}

impl Connection {
    /// Returns whether the present request is not the first one, so that a response to an earlier one can arrive.
    pub fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives; it holds the request if nothing of it was sent.
    pub fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>> {
        self.requests += 1;
        self.sender.try_send_request(req)
    }

    /// Returns whether another request can be sent.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Sets the options that make a silent peer visible: the kernel ends the connection after `silence` without an
/// acknowledgement, or with a receive window that stays closed.
///
/// # Errors
///
/// Returns the error of the system call.
pub(super) fn harden(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Connects within a time limit. The connection is driven by a local task, which ends with it.
///
/// # Errors
///
/// Returns an error if the peer refuses the connection or does not accept it in time.
pub async fn connect(addr: SocketAddr, limit: Millis) -> io::Result<Connection> {
    let stream = tokio::time::timeout(limit.duration(), TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    harden(&stream, SILENCE.duration())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(BUFFER)
        .handshake(TokioIo::new(Guarded::new(stream)))
        .await
        .map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            log::trace!("connection to {addr} ended: {e}");
        }
    });
    Ok(Connection {
        sender,
        requests: 0,
    })
}
