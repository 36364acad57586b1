//! Connections to peers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use quinn::{Connection, Endpoint, EndpointConfig, IdleTimeout, Runtime, TransportConfig, VarInt};

use super::{
    frame::{FrameReceiver, FrameSender},
    tls::{TlsError, TlsFiles, SERVER_NAME},
    traffic::{CountedSocket, Flow, Traffic},
};
use crate::{
    base::{lock, HashMap, Millis},
    observe::Metrics,
    wire::{CodecError, Open},
};

/// Time to open a connection.
const CONNECT_TIMEOUT: Millis = Millis(1000);

/// Time for the first frame of a stream.
const OPEN_TIMEOUT: Millis = Millis(2000);

/// Largest [`Open`] frame in bytes: the largest request body plus its header fields.
const OPEN_MAX: usize = 17 << 20;

/// Interval of keep-alive packets on idle connections.
const KEEP_ALIVE: Millis = Millis(1000);

/// Time without any packet after which a connection counts as lost.
const IDLE_TIMEOUT: Millis = Millis(4000);

/// Streams that a peer may have open at once on one connection.
const STREAMS_MAX: u32 = 1024;

/// Why an exchange with a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NetError {
    /// No connection could be opened; the peer received nothing.
    #[error(
        "no connection to {peer} ({reason}); check that the peer runs and its certificate is valid"
    )]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The peer did not answer in time.
    #[error("no answer within {0}; the peer may be frozen or the path silent")]
    Timeout(Millis),
    /// The stream or connection ended early.
    #[error("the stream ended early ({0}); try again on a fresh connection")]
    Lost(String),
    /// A message was too large or malformed.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The transport cannot be set up.
    #[error("the address {0} cannot be bound ({1}); check `peer` in the process settings")]
    Bind(SocketAddr, String),
}

/// An open exchange with a peer.
#[derive(Debug)]
pub struct Call {
    /// Frames to the peer.
    pub tx: FrameSender,
    /// Frames from the peer.
    pub rx: FrameReceiver,
}

/// An exchange that a peer opened.
#[derive(Debug)]
pub struct Incoming {
    /// First frame.
    pub open: Open,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Frames to and from the peer.
    pub call: Call,
}

/// QUIC endpoint with a pool of one connection for each peer.
#[derive(Clone, Debug)]
pub struct Transport {
    endpoint: Endpoint,
    files: Arc<TlsFiles>,
    client: Arc<Mutex<quinn::ClientConfig>>,
    /// Holds only connections that no exchange has found silent or closed.
    pool: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    traffic: Traffic,
}

fn transport_config() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.keep_alive_interval(Some(KEEP_ALIVE.duration()));
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
        IDLE_TIMEOUT.0 as u32,
    ))));
    config.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

fn server_config(files: &TlsFiles) -> Result<quinn::ServerConfig, TlsError> {
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(files.server()?));
    config.transport_config(transport_config());
    Ok(config)
}

fn client_config(files: &TlsFiles) -> Result<quinn::ClientConfig, TlsError> {
    let mut config = quinn::ClientConfig::new(Arc::new(files.client()?));
    config.transport_config(transport_config());
    Ok(config)
}

impl Transport {
    /// Binds the endpoint; must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken or the TLS files cannot be used.
    pub fn bind(addr: SocketAddr, files: TlsFiles) -> eyre::Result<Self> {
        let bind = |e: std::io::Error| NetError::Bind(addr, e.to_string());
        let server = server_config(&files)?;
        let client = client_config(&files)?;
        let socket = std::net::UdpSocket::bind(addr).map_err(bind)?;
        let runtime = Arc::new(quinn::TokioRuntime);
        let traffic = Traffic::default();
        let socket = Arc::new(CountedSocket {
            inner: runtime.wrap_udp_socket(socket).map_err(bind)?,
            traffic: traffic.clone(),
        });
        let config = EndpointConfig::default();
        let endpoint = Endpoint::new_with_abstract_socket(config, Some(server), socket, runtime)
            .map_err(bind)?;
        Ok(Self {
            endpoint,
            files: Arc::new(files),
            client: Arc::new(Mutex::new(client)),
            pool: Arc::default(),
            traffic,
        })
    }

    /// Adds the counters of messages and bytes to the metrics of the process.
    pub fn register(&self, metrics: &Metrics) {
        self.traffic.register(metrics);
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is closed.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Reads the TLS files again; open connections stay, new ones use the new certificate.
    ///
    /// # Errors
    ///
    /// Returns an error, with the old certificate still in use, if the files cannot be used.
    pub fn reload(&self) -> Result<(), TlsError> {
        let (server, client) = (server_config(&self.files)?, client_config(&self.files)?);
        self.endpoint.set_server_config(Some(server));
        *lock(&self.client) = client;
        Ok(())
    }

    /// Opens an exchange with a peer, on the pooled connection if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Connect`] if nothing was sent, other errors if the peer may have received the frame.
    pub async fn call(&self, peer: SocketAddr, open: &Open) -> Result<Call, NetError> {
        let conn = self.connection(peer).await?;
        let (tx, rx) = conn.open_bi().await.map_err(|e| {
            self.forget(peer, &conn);
            NetError::Connect {
                peer,
                reason: e.to_string(),
            }
        })?;
        let class = self.traffic.class(&open.call);
        let mut call = Call {
            tx: FrameSender::new(tx, class.sent.clone()),
            rx: FrameReceiver::new(rx, class.received.clone()),
        };
        call.tx.send(open).await?;
        Ok(call)
    }

    /// Stops using the pooled connection to a peer, for example because an exchange on it was silent.
    ///
    /// Exchanges in progress on it go on.
    pub fn discard(&self, peer: SocketAddr) {
        lock(&self.pool).remove(&peer);
    }

    /// Returns the bytes sent and received in UDP datagrams on the pooled connections, which this process opened.
    pub fn traffic(&self) -> (u64, u64) {
        let pool = lock(&self.pool);
        pool.values().fold((0, 0), |(sent, received), c| {
            let s = c.stats();
            (sent + s.udp_tx.bytes, received + s.udp_rx.bytes)
        })
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, NetError> {
        if let Some(conn) = lock(&self.pool)
            .get(&peer)
            .filter(|c| c.close_reason().is_none())
        {
            return Ok(conn.clone());
        }
        let err = |reason: String| NetError::Connect { peer, reason };
        let config = lock(&self.client).clone();
        let connecting = self
            .endpoint
            .connect_with(config, peer, SERVER_NAME)
            .map_err(|e| err(e.to_string()))?;
        let conn = tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting)
            .await
            .map_err(|_| err(format!("no answer within {CONNECT_TIMEOUT}")))?
            .map_err(|e| err(e.to_string()))?;
        lock(&self.pool).insert(peer, conn.clone());
        Ok(conn)
    }

    /// Removes a connection from the pool unless it was replaced.
    fn forget(&self, peer: SocketAddr, conn: &Connection) {
        let mut pool = lock(&self.pool);
        if pool
            .get(&peer)
            .is_some_and(|c| c.stable_id() == conn.stable_id())
        {
            pool.remove(&peer);
        }
    }

    /// Accepts connections until the endpoint closes and passes each exchange to `handle`.
    pub async fn serve<F>(&self, handle: impl Fn(Incoming) -> F + Clone + Send + 'static)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        while let Some(incoming) = self.endpoint.accept().await {
            let (handle, traffic) = (handle.clone(), self.traffic.clone());
            tokio::spawn(async move {
                match incoming.await {
                    Ok(conn) => serve_connection(conn, handle, traffic).await,
                    Err(e) => log::debug!("a connection was refused: {e}"),
                }
            });
        }
    }

    /// Closes all connections and waits until the peers were told.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"shutdown");
        self.endpoint.wait_idle().await;
    }
}

/// Reads the first frame of each stream of a connection.
async fn serve_connection<F>(
    conn: Connection,
    handle: impl Fn(Incoming) -> F + Clone + Send + 'static,
    traffic: Traffic,
) where
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let peer = conn.remote_address();
    while let Ok((tx, rx)) = conn.accept_bi().await {
        let (handle, traffic) = (handle.clone(), traffic.clone());
        tokio::spawn(async move {
            // The first frame tells which counters the exchange belongs to.
            let first = Flow::default();
            let mut call = Call {
                tx: FrameSender::new(tx, Flow::default()),
                rx: FrameReceiver::new(rx, first.clone()),
            };
            match call.rx.next::<Open>(OPEN_MAX, OPEN_TIMEOUT).await {
                Ok(open) => {
                    let class = traffic.class(&open.call);
                    class.received.absorb(&first);
                    call.rx.count_as(class.received.clone());
                    call.tx.count_as(class.sent.clone());
                    handle(Incoming { open, peer, call }).await;
                }
                Err(e) => log::debug!("a stream of {peer} was dropped: {e}"),
            }
        });
    }
}
