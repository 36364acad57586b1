//! Free ports for processes whose settings need fixed ones.

use std::{
    net::{Ipv4Addr, TcpListener, UdpSocket},
    process::ExitCode,
};

use eyre::{eyre, Result, WrapErr};

/// Prints free ports, one a line.
pub(super) fn main(args: &[String]) -> Result<ExitCode> {
    let n: usize = args
        .first()
        .ok_or_else(|| eyre!("the number is missing; use `sesamewing-load ports N`"))?
        .parse()
        .wrap_err("the number of ports is not a whole number")?;
    // All sockets stay bound until the end, so that no port is printed twice.
    let mut held = Vec::new();
    while held.len() < n {
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = tcp.local_addr()?.port();
        if let Ok(udp) = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) {
            println!("{port}");
            held.push((tcp, udp));
        }
    }
    Ok(ExitCode::SUCCESS)
}
