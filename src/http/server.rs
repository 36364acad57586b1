//! Accepts connections and serves them until the process drains.

use std::{convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    body::{Body, Incoming},
    Request, Response,
};
use tokio::{net::TcpListener, sync::watch};

use super::{accepted::serve_stream, callers::Callers, connect::harden};
use crate::{base::Millis, decide::stop::SETTLE};

/// Time to wait after the system refused to accept a connection, for example for lack of descriptors.
const ACCEPT_RETRY: Millis = Millis(20);

/// Time without an acknowledgement, or with a closed receive window, after which the kernel ends an accepted connection.
/// Longer than the deadline of a request without one of its own, because a peer may read its response with pauses.
const PEER_SILENCE: Duration = Duration::from_secs(31);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Limits of the connections that are accepted.
#[derive(Clone, Copy, Debug)]
pub struct ServeOptions {
    /// Longest time for the head of a request, and for the pause before it. A later value holds for open connections too.
    pub header_timeout: Millis,
    /// Largest head of a request, in bytes.
    pub header_max: usize,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self {
            header_timeout: Millis::from_secs(60),
            header_max: 16 << 10,
        }
    }
}

/// A bound socket.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
}

/// Binds a socket.
///
/// # Errors
///
/// Returns an error if the address is in use or not of this host.
pub fn listen(addr: SocketAddr) -> io::Result<Listener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(Listener {
        listener: socket.listen(BACKLOG)?,
    })
}

/// Waits until the shutdown has begun and what had arrived by then is read.
pub(super) async fn settle(mut closing: watch::Receiver<bool>) {
    // An error says that the sender is gone, which ends the service too.
    let _ = closing.wait_for(|c| *c).await;
    tokio::time::sleep(SETTLE.duration()).await;
}

impl Listener {
    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves connections until `closing` becomes `true`: then connections that wait already are accepted, each open one
    /// ends after its response, and the call returns once all have ended.
    pub async fn serve<H, F, B>(
        self,
        options: impl Fn() -> ServeOptions + 'static,
        handler: H,
        closing: watch::Receiver<bool>,
    ) where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<B>> + 'static,
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        self.serve_within(None, options, handler, closing).await;
    }

    /// Serves connections like [`Listener::serve`], with what they hold within the budget for callers. Requests have the
    /// id of their connection as an extension.
    pub async fn serve_within<H, F, B>(
        self,
        callers: Option<Rc<Callers>>,
        options: impl Fn() -> ServeOptions + 'static,
        handler: H,
        closing: watch::Receiver<bool>,
    ) where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<B>> + 'static,
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let handler = Rc::new(handler);
        let options = Rc::new(options);
        let (alive, mut ended) = tokio::sync::mpsc::channel::<Infallible>(1);
        let closed = closing.clone();
        let settled = settle(closing);
        tokio::pin!(settled);
        loop {
            if let Some(callers) = &callers {
                callers.room().await;
            }
            // A connection that waits goes first, so that none is reset with its request when the socket closes.
            let stream = tokio::select! {
                biased;
                accepted = self.listener.accept() => accepted,
                () = settled.as_mut() => break,
            };
            let (stream, peer) = match stream {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("cannot accept a connection: {e}; raise the descriptor limit");
                    tokio::time::sleep(ACCEPT_RETRY.duration()).await;
                    continue;
                }
            };
            if let Err(e) = harden(&stream, PEER_SILENCE) {
                log::debug!("the peer is gone before it was served: {e}");
                continue;
            }
            let held = match callers.as_ref().map(|c| c.admit(peer)).transpose() {
                Ok(held) => held,
                Err(e) => {
                    log::debug!("a connection is closed at once: {e}");
                    continue;
                }
            };
            let served = serve_stream(
                stream,
                peer,
                held,
                options.clone(),
                handler.clone(),
                closed.clone(),
            );
            let alive = alive.clone();
            tokio::task::spawn_local(async move {
                let _alive = alive;
                served.await;
            });
        }
        drop(self.listener);
        drop(alive);
        let _ = ended.recv().await;
    }
}
