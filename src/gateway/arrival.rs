//! Datagrams, and for how long they lay in the socket before this process read them.
//!
//! A process that is held up reads afterwards what arrived meanwhile. What such a datagram says of an age holds as of its
//! arrival, which the kernel notes (`SO_TIMESTAMPNS`, `socket(7)`).

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    os::fd::AsRawFd,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::{
    cmsg_space,
    sys::{
        socket::{
            recvmsg, setsockopt, sockopt::ReceiveTimestampns, ControlMessageOwned, MsgFlags,
            SockaddrStorage,
        },
        time::TimeSpec,
    },
};
use tokio::{io::Interest, net::UdpSocket};

use crate::base::Millis;

/// Largest datagram, in bytes.
const DATAGRAM_MAX: usize = 8 << 10;

/// Datagram that was received.
#[derive(Debug)]
pub(super) struct Datagram<'a> {
    pub(super) data: &'a [u8],
    /// Sender.
    pub(super) from: SocketAddr,
    /// Time for which it lay in the socket; zero if the kernel does not tell.
    pub(super) waited: Millis,
}

/// Reads the datagrams of a socket.
#[derive(Debug)]
pub(super) struct Inbox {
    socket: Rc<UdpSocket>,
    data: Vec<u8>,
    /// Space for the time of arrival.
    control: Vec<u8>,
}

impl Inbox {
    pub(super) fn new(socket: Rc<UdpSocket>) -> Self {
        if let Err(e) = setsockopt(&*socket, ReceiveTimestampns, &true) {
            log::warn!("the kernel does not tell when datagrams arrive: {e}");
        }
        Self {
            socket,
            data: vec![0; DATAGRAM_MAX],
            control: cmsg_space!(TimeSpec),
        }
    }

    /// Receives a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has one; the next datagram may be received.
    pub(super) async fn receive(&mut self) -> io::Result<Datagram<'_>> {
        let (data, control) = (&mut self.data, &mut self.control);
        let read = || read_datagram(&self.socket, data, control);
        let (len, from, arrived) = self.socket.async_io(Interest::READABLE, read).await?;
        Ok(Datagram {
            data: &self.data[..len],
            from,
            waited: arrived.map_or(Millis::ZERO, time_since),
        })
    }
}

/// Reads a datagram if there is one; returns its length, its sender, and when it arrived, as time since the Unix epoch.
fn read_datagram(
    socket: &UdpSocket,
    data: &mut [u8],
    control: &mut [u8],
) -> io::Result<(usize, SocketAddr, Option<Duration>)> {
    let mut parts = [IoSliceMut::new(data)];
    let flags = MsgFlags::empty();
    let message = recvmsg::<SockaddrStorage>(socket.as_raw_fd(), &mut parts, Some(control), flags)?;
    let from = message.address.as_ref().and_then(socket_addr);
    let from = from.ok_or_else(|| io::Error::other("a datagram without a sender's address"))?;
    let arrived = message.cmsgs()?.find_map(|c| match c {
        ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
        _ => None,
    });
    Ok((message.bytes, from, arrived))
}

fn socket_addr(addr: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = addr.as_sockaddr_in().map(|a| SocketAddr::V4((*a).into()));
    v4.or_else(|| addr.as_sockaddr_in6().map(|a| SocketAddr::V6((*a).into())))
}

/// Returns the time since a moment of the system's clock; zero if that was set back meanwhile.
fn time_since(moment: Duration) -> Millis {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().saturating_sub(moment).into()
}
