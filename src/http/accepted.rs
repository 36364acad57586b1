//! One accepted connection, from its first request to its end.

use std::{cell::Cell, convert::Infallible, future::Future, net::SocketAddr, pin::Pin, rc::Rc};

use bytes::Bytes;
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
    Request, Response,
};
use hyper_util::rt::TokioIo;
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch, time::Instant};

use super::{
    callers::{Counted, Held, HeldConnection},
    head_timer::{HeadLimit, HeadTimer},
    lingering::Lingering,
    log_event,
    server::{settle, ServeOptions},
};
use crate::{base::Millis, emit};

/// Smallest buffer that hyper accepts, in bytes.
const BUFFER_MIN: usize = 8 << 10;

/// What happened on a connection, for the log line at its end.
#[derive(Debug)]
struct Exchanges {
    peer: SocketAddr,
    began: Instant,
    /// Requests whose head was read.
    requests: Cell<u64>,
    /// Responses that the handler returned.
    answers: Cell<u64>,
}

impl Exchanges {
    fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            began: Instant::now(),
            requests: Cell::new(0),
            answers: Cell::new(0),
        }
    }

    /// Logs the end of the connection, if something may lack its response. `unread` is the number of bytes that no
    /// request was made of.
    fn log_end(&self, ended: &hyper::Result<()>, unread: usize) {
        let reason = match ended {
            Ok(()) if unread == 0 => return,
            Ok(()) => "closed".to_owned(),
            Err(e) => e.to_string(),
        };
        let age = Millis::from(self.began.elapsed());
        emit!(
            log_event::CONNECTION,
            "peer={} requests={} answers={} unread={unread} ms={} reason=\"{reason}\"",
            self.peer,
            self.requests.get(),
            self.answers.get(),
            age.0
        );
    }
}

/// Serves a connection like [`serve_whole`]; ends it when it is shed. `held` is what it holds, if that counts.
pub(super) async fn serve_stream<H, F, B>(
    stream: TcpStream,
    peer: SocketAddr,
    held: Option<HeldConnection>,
    options: Rc<impl Fn() -> ServeOptions>,
    handler: Rc<H>,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let Some(held) = held else {
        return serve_whole(stream, peer, None, options, handler, closing).await;
    };
    let inner = Some(held.inner());
    tokio::select! {
        biased;
        () = serve_whole(stream, peer, inner, options, handler, closing) => {}
        () = held.ended() => {}
    }
}

/// Serves a connection until it ends; after `closing` becomes `true`, until the response to what had arrived by then.
async fn serve_whole<H, F, B>(
    stream: TcpStream,
    peer: SocketAddr,
    held: Option<Rc<Held>>,
    options: Rc<impl Fn() -> ServeOptions>,
    handler: Rc<H>,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let exchanges = Rc::new(Exchanges::new(peer));
    let counts = exchanges.clone();
    let holder = held.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        counts.requests.set(counts.requests.get() + 1);
        if let Some(held) = &holder {
            held.begin(req.body().is_end_stream(), size_of::<F>());
            req.extensions_mut().insert(held.id());
        }
        // In memory of its own: hyper keeps room for it as long as the connection is open, 13 KiB for an entry's.
        let response = Box::pin(handler(req));
        let (counts, held) = (counts.clone(), holder.clone());
        async move {
            let response = response.await;
            counts.answers.set(counts.answers.get() + 1);
            if let Some(held) = &held {
                held.answer();
            }
            Ok::<_, Infallible>(response.map(|body| Counted::new(body, held)))
        }
    });
    let limit = HeadLimit::default();
    let mut stream = Lingering::new(stream, held);
    let mut connection = http1::Builder::new()
        .timer(HeadTimer(limit.clone()))
        .header_read_timeout(limit.get())
        .max_buf_size(options().header_max.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(&mut stream), service);
    let serving = std::future::poll_fn(|cx| {
        limit.set(options().header_timeout);
        Pin::new(&mut connection).poll(cx)
    });
    // The connection first, so that a request that has arrived by then is read before the connection closes.
    let ended = tokio::select! {
        biased;
        ended = serving => Some(ended),
        () = settle(closing) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let unread = connection.into_parts().read_buf.len();
    // hyper does not close a connection that ended with an error, or on which another protocol was offered.
    if let Err(e) = stream.shutdown().await {
        log::trace!("a connection was not closed in order: {e}");
    }
    exchanges.log_end(&ended, unread + stream.discarded());
}
