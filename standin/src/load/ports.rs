//! Free ports for processes whose settings need fixed ones.

use std::{
    net::{Ipv4Addr, TcpListener, UdpSocket},
    process::ExitCode,
};

use eyre::{eyre, Result, WrapErr};

/// Prints free ports, one a line.
pub(super) fn main(args: &[String]) -> Result<ExitCode> {
    let number = |i: usize| {
        let text = args.get(i)?;
        Some(
            text.parse::<u16>()
                .wrap_err_with(|| format!("`{text}` is not a port number or a number of ports")),
        )
    };
    let n = number(0)
        .ok_or_else(|| eyre!("the number is missing; use `sesamewing-load ports N [FIRST]`"))??;
    let mut next = number(1).transpose()?;
    // All sockets stay bound until the end, so that no port is printed twice.
    let mut held = Vec::new();
    while held.len() < usize::from(n) {
        let wanted = next.unwrap_or(0);
        next = match next {
            Some(p) => Some(
                p.checked_add(1)
                    .ok_or_else(|| eyre!("no free port is left"))?,
            ),
            None => None,
        };
        let tcp = match TcpListener::bind((Ipv4Addr::LOCALHOST, wanted)) {
            Err(_) if wanted != 0 => continue,
            other => other?,
        };
        let port = tcp.local_addr()?.port();
        if let Ok(udp) = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) {
            println!("{port}");
            held.push((tcp, udp));
        }
    }
    Ok(ExitCode::SUCCESS)
}
