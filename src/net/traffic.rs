//! Counters of the traffic between processes.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use prometheus_client::metrics::counter::Counter;
use quinn::{
    udp::{RecvMeta, Transmit},
    AsyncUdpSocket, UdpPoller,
};

use crate::{observe::Metrics, wire::Call};

/// Messages of one class in one direction.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    /// Messages, including the first frame of each stream.
    messages: Counter,
    /// Bytes of these messages with their length prefixes.
    bytes: Counter,
}

impl Flow {
    /// Counts a message of `bytes` bytes.
    pub(super) fn message(&self, bytes: usize) {
        self.messages.inc();
        self.bytes.inc_by(bytes as u64);
    }

    /// Adds what another flow has counted.
    pub(super) fn absorb(&self, other: &Self) {
        self.messages.inc_by(other.messages.get());
        self.bytes.inc_by(other.bytes.get());
    }
}

/// Messages of one class.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    pub(super) sent: Flow,
    pub(super) received: Flow,
}

/// Traffic of a transport; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic {
    control: Class,
    requests: Class,
    weights: Class,
    /// Bytes of UDP payload, which include encryption, acknowledgements and keep-alive packets.
    sent: Counter,
    received: Counter,
}

impl Traffic {
    /// Returns the counters for an exchange.
    pub(super) fn class(&self, call: &Call) -> &Class {
        match call {
            Call::Run(_) | Call::Settle(_) => &self.requests,
            Call::Have(_) | Call::Chunk(_) => &self.weights,
            Call::Watch(_) | Call::Feed(_) | Call::Share(_) => &self.control,
        }
    }

    /// Adds the counters to the metrics of the process.
    pub(super) fn register(&self, metrics: &Metrics) {
        metrics.register(|r| {
            let mut add = |name: String, help: String, counter: &Counter| {
                r.register(format!("net_{name}"), help, counter.clone());
            };
            let classes = [
                ("control", &self.control),
                ("request", &self.requests),
                ("weight", &self.weights),
            ];
            for (class, c) in classes {
                for (side, flow) in [("sent", &c.sent), ("received", &c.received)] {
                    let name = format!("{class}_messages_{side}");
                    add(name, format!("{class} messages {side}"), &flow.messages);
                    let name = format!("{class}_bytes_{side}");
                    add(
                        name,
                        format!("Bytes of {class} messages {side}"),
                        &flow.bytes,
                    );
                }
            }
            for (side, counter) in [("sent", &self.sent), ("received", &self.received)] {
                let help = format!("Bytes of UDP payload {side} on connections between processes");
                add(format!("datagram_bytes_{side}"), help, counter);
            }
        });
    }
}

/// A socket that counts the bytes of its datagrams.
#[derive(Debug)]
pub(super) struct CountedSocket {
    pub(super) inner: Arc<dyn AsyncUdpSocket>,
    pub(super) traffic: Traffic,
}

impl AsyncUdpSocket for CountedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        self.inner.clone().create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.inner.try_send(transmit)?;
        let bytes = transmit.contents.len() as u64;
        self.traffic.sent.inc_by(bytes);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let poll = self.inner.poll_recv(cx, bufs, meta);
        if let Poll::Ready(Ok(n)) = poll {
            let bytes: usize = meta.iter().take(n).map(|m| m.len).sum();
            self.traffic.received.inc_by(bytes as u64);
        }
        poll
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
