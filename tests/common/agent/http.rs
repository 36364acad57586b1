//! A small HTTP server whose handlers write the answer themselves, so that they can stall or cut it.

use std::{future::Future, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub(crate) fn query(&self, name: &str) -> Option<u64> {
        let pairs = self.path.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name)?.1.parse().ok()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

pub(crate) async fn serve<F, Fut>(handler: F) -> SocketAddr
where
    F: Fn(Request, TcpStream) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Some(req) = read(&mut stream).await {
                    handler(req, stream).await;
                }
            });
        }
    });
    addr
}

async fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_owned(), v.to_owned()))
        .collect();
    let mut req = Request {
        method,
        path,
        headers,
        body: Vec::new(),
    };
    let length = req
        .header("content-length")
        .map_or(0, |n| n.parse().unwrap_or(0));
    req.body = vec![0; length];
    stream.read_exact(&mut req.body).await.ok()?;
    Some(req)
}

/// Writes the head of an answer whose end is the end of the connection.
pub(crate) async fn head(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)]) {
    let mut text = format!("HTTP/1.1 {status} Status\r\nConnection: close\r\n");
    for (n, v) in headers {
        text += &format!("{n}: {v}\r\n");
    }
    // A client that is gone needs no answer.
    let _ = stream.write_all((text + "\r\n").as_bytes()).await;
}

pub(crate) async fn respond(stream: &mut TcpStream, status: u16, body: &[u8]) {
    let length = body.len().to_string();
    head(stream, status, &[("Content-Length", &length)]).await;
    let _ = stream.write_all(body).await;
    let _ = stream.shutdown().await;
}
