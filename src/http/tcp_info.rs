//! What the kernel reports of the sending side of a connection.

use std::{
    io,
    mem::{offset_of, size_of, size_of_val, zeroed},
    os::fd::AsRawFd,
};

use tokio::net::TcpStream;

use crate::{base::Millis, decide::silence::SendState};

/// Length of a report that holds all that is read of it; older kernels return less.
const LENGTH_MIN: usize = offset_of!(libc::tcp_info, tcpi_notsent_bytes) + size_of::<u32>();

/// Returns the state of the bytes that were sent on a connection.
///
/// # Errors
///
/// Returns the error of the system call, or [`io::ErrorKind::Unsupported`] if the kernel reports too little.
pub(super) fn send_state(stream: &TcpStream) -> io::Result<SendState> {
    // SAFETY: the struct consists of integers, for which zeroes are valid.
    let mut info: libc::tcp_info = unsafe { zeroed() };
    let mut length = size_of_val(&info) as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` is borrowed, and the kernel writes at most `length` bytes to `info`,
    // which has that size.
    let code = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if code != 0 {
        return Err(io::Error::last_os_error());
    }
    if (length as usize) < LENGTH_MIN {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(SendState {
        unacked: info.tcpi_unacked,
        unsent: info.tcpi_notsent_bytes,
        probes: info.tcpi_probes,
        sent_ago: Millis(info.tcpi_last_data_sent.into()),
        acked_ago: Millis(info.tcpi_last_ack_recv.into()),
    })
}
