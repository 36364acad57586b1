//! HTTP/1.1 on blocking sockets, as much as the stand-ins and callers of the cases need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Longest head that is read, in bytes.
const HEAD_MAX: usize = 64 << 10;

/// Head of a message: its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// Returns method, path and query of a request.
    pub fn target(&self) -> (String, String, String) {
        let mut words = self.first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        (method, path.to_owned(), query.to_owned())
    }
}

/// Returns a field of a query string.
pub fn field<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// A connection with the bytes that were read and not yet used.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn early() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended early")
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within a time limit, which then holds for each read and write.
    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let data: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse(&String::from_utf8_lossy(&data[..end]))));
            }
            if self.buffer.len() > HEAD_MAX {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a long head"));
            }
            match self.fill()? {
                0 if self.buffer.is_empty() => return Ok(None),
                0 => return Err(early()),
                _ => {}
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head, request: bool) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            return self.chunks();
        }
        match head.get("content-length").and_then(|n| n.parse().ok()) {
            Some(n) => self.exact(n),
            None if request => Ok(Vec::new()),
            None => {
                while self.fill()? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
        }
    }

    fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if self.fill()? == 0 {
                return Err(early());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut out = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Err(early());
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no size of a chunk"))?;
            self.exact(end + 2)?;
            let data = self.exact(size + 2)?;
            if size == 0 {
                return Ok(out);
            }
            out.extend_from_slice(&data[..size]);
        }
    }

    pub fn write(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(data)
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Head {
        first,
        headers: headers.collect(),
    }
}

/// Builds a message with a length.
pub fn message(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Builds the response of a stand-in.
pub fn response(status: u16, body: &[u8]) -> Vec<u8> {
    message(&format!("HTTP/1.1 {status} Status"), &[("Content-Type", "application/json")], body)
}

/// Sends a GET request on a connection of its own; returns the status, or 0 without a response.
pub fn get(addr: SocketAddr, path: &str, limit: Duration) -> (u16, Vec<u8>) {
    let exchange = || -> io::Result<(u16, Vec<u8>)> {
        let mut wire = Wire::connect(addr, limit)?;
        let host = addr.to_string();
        wire.write(&message(&format!("GET {path} HTTP/1.1"), &[("Host", &host)], b""))?;
        let head = wire.head()?.ok_or_else(early)?;
        let body = wire.body(&head, false)?;
        Ok((head.status(), body))
    };
    exchange().unwrap_or((0, Vec::new()))
}

/// Waits until a condition holds, for `limit` at most; returns whether it does.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
