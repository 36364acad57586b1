//! What the HTTP adapters share.

use bytes::{Bytes, BytesMut};
use reqwest::{header::CONTENT_TYPE, redirect, Client, ClientBuilder, RequestBuilder, Response};

use super::{EndpointError, Part};
use crate::{
    base::{Millis, RequestId},
    http::{has_unknown_coding, is_final},
};

/// Time to open a connection; the endpoint is on the same host.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// Longest line of a stream, in bytes.
const LINE_MAX: usize = 1 << 20;

/// Creates a client that sends each request once.
///
/// Redirects are answers like any other: to follow one would run a request twice.
pub(super) fn client() -> Result<Client, EndpointError> {
    build(builder())
}

/// Like [`client`], with a connection of its own for each request, on which no answer to an earlier one can arrive.
pub(super) fn unpooled() -> Result<Client, EndpointError> {
    build(builder().pool_max_idle_per_host(0))
}

fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT.duration())
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
}

fn build(builder: ClientBuilder) -> Result<Client, EndpointError> {
    builder
        .build()
        .map_err(|e| EndpointError::NotSent(e.to_string()))
}

/// Joins the base URL and a path; the path cannot change the host.
pub(super) fn url(base: &str, path: &str) -> String {
    format!(
        "{}/{}",
        base.trim_end_matches('/'),
        path.trim_start_matches('/')
    )
}

/// Maps an error of the client: only a connection that was never opened guarantees that nothing was sent.
pub(super) fn transport(e: &reqwest::Error) -> EndpointError {
    if e.is_connect() || e.is_builder() {
        return EndpointError::NotSent(e.to_string());
    }
    EndpointError::Lost(e.to_string())
}

/// Sends a request and waits up to `limit` for the head of the answer.
pub(super) async fn send(req: RequestBuilder, limit: Millis) -> Result<Response, EndpointError> {
    match tokio::time::timeout(limit.duration(), req.send()).await {
        Ok(Ok(resp)) if has_unknown_coding(resp.headers()) => Err(EndpointError::Lost(
            "a transfer coding that is not `chunked`".to_owned(),
        )),
        Ok(Ok(resp)) if !is_final(resp.status()) => Err(EndpointError::Lost(format!(
            "status {}, which is no final response",
            resp.status().as_u16()
        ))),
        Ok(Ok(resp)) => Ok(resp),
        Ok(Err(e)) => Err(transport(&e)),
        Err(_) => Err(EndpointError::Silent(limit)),
    }
}

/// Waits up to `limit` for the next bytes of a body; `None` at its end.
pub(super) async fn chunk(
    resp: &mut Response,
    limit: Millis,
) -> Result<Option<Bytes>, EndpointError> {
    match tokio::time::timeout(limit.duration(), resp.chunk()).await {
        Ok(Ok(data)) => Ok(data),
        Ok(Err(e)) => Err(EndpointError::Lost(e.to_string())),
        Err(_) => Err(EndpointError::Silent(limit)),
    }
}

/// Waits up to `limit` for the next part of a body that is not a stream of events.
pub(super) async fn raw_part(
    resp: &mut Response,
    id: Option<RequestId>,
    limit: Millis,
) -> Result<Part, EndpointError> {
    let part = match chunk(resp, limit).await? {
        Some(data) => Part::Data {
            id,
            index: 0,
            version: None,
            data,
        },
        None => Part::End {
            id,
            tokens: None,
            version: None,
        },
    };
    Ok(part)
}

/// Returns the media type of an answer.
pub(super) fn media(resp: &Response) -> String {
    header(resp, CONTENT_TYPE.as_str())
        .unwrap_or("application/octet-stream")
        .to_owned()
}

/// Returns a header as text.
pub(super) fn header<'a>(resp: &'a Response, name: &str) -> Option<&'a str> {
    resp.headers().get(name)?.to_str().ok()
}

/// Splits a stream into the contents of its events.
#[derive(Debug, Default)]
pub(super) struct Lines {
    buf: BytesMut,
}

impl Lines {
    /// Adds received bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), EndpointError> {
        if self.buf.len() + data.len() > LINE_MAX {
            return Err(EndpointError::Malformed("a line exceeds 1 MiB".to_owned()));
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    /// Returns the next whole event, without its `data:` prefix.
    pub(super) fn pop(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buf.iter().position(|&b| b == b'\n')?;
            let line = self.buf.split_to(end + 1).freeze();
            let text = line.trim_ascii();
            let text = text.strip_prefix(b"data:").unwrap_or(text).trim_ascii();
            if text.starts_with(b"{") {
                return Some(line.slice_ref(text));
            }
        }
    }
}
