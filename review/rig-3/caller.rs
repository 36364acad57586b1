//! Callers: requests on connections of their own, and what came back.

use std::{net::SocketAddr, time::Duration};

use crate::http::{message, Wire};

/// A request, with what its caller sent and got.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub entry: String,
    pub key: &'static str,
    /// When it was sent, in milliseconds since the start of the case.
    pub sent: u64,
    /// Status of the response; 0 if there was none.
    pub status: u16,
    /// Runner that proves the response.
    pub proof: String,
}

/// Sends a request and waits for its response.
pub fn send(addr: SocketAddr, path: &str, id: &str, key: &str, deadline: u64) -> (u16, String) {
    send_with(addr, path, id, key, deadline, &[])
}

/// Like [`send`], with further headers.
pub fn send_with(
    addr: SocketAddr,
    path: &str,
    id: &str,
    key: &str,
    deadline: u64,
    more: &[(&str, &str)],
) -> (u16, String) {
    let exchange = || -> std::io::Result<(u16, String)> {
        let mut wire = Wire::connect(addr, Duration::from_millis(deadline))?;
        let deadline = deadline.to_string();
        let mut headers = vec![
            ("Host", "one.example"),
            ("Sesamewing-Attempt-Id", id),
            ("Sesamewing-Deadline-Ms", &deadline),
            ("Sesamewing-Key", key),
        ];
        headers.extend_from_slice(more);
        wire.write(&message(&format!("POST {path} HTTP/1.1"), &headers, b"an order"))?;
        let Some(head) = wire.head()? else {
            return Ok((0, String::new()));
        };
        wire.body(&head, false)?;
        let proof = head.get("sesamewing-runner-signature").unwrap_or_default();
        Ok((head.status(), proof.to_owned()))
    };
    exchange().unwrap_or((0, String::new()))
}
