//! Adapter for plain services.

use std::str::FromStr;

use reqwest::{header::CONTENT_TYPE, Client, Method, Response};

use super::{
    http, CacheEvents, Endpoint, EndpointError, EndpointStatus, Head, LoadOrder, Part, Run,
};
use crate::{
    base::{Millis, RequestId},
    wire::RunRequest,
};

/// Time to open a connection as a sign of life.
const PROBE_TIMEOUT: Millis = Millis(500);

/// A plain service behind HTTP.
#[derive(Clone, Debug)]
pub struct Plain {
    client: Client,
    base: String,
    /// Host and port of `base`.
    authority: String,
}

/// An answer of a plain service in progress.
#[derive(Debug)]
pub struct PlainRun {
    resp: Response,
    head: Head,
}

impl Plain {
    /// Creates an adapter for the service at `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not a URL or the HTTP client cannot be set up.
    pub fn new(base: &str) -> Result<Self, EndpointError> {
        let invalid = || EndpointError::NotSent(format!("`{base}` is not an HTTP address"));
        let url = reqwest::Url::parse(base).map_err(|_| invalid())?;
        let (host, port) = url
            .host_str()
            .zip(url.port_or_known_default())
            .ok_or_else(invalid)?;
        Ok(Self {
            client: http::client()?,
            authority: format!("{host}:{port}"),
            base: base.to_owned(),
        })
    }
}

impl Endpoint for Plain {
    type Run = PlainRun;

    async fn run(&self, req: &RunRequest, limit: Millis) -> Result<PlainRun, EndpointError> {
        let method =
            Method::from_str(&req.method).map_err(|e| EndpointError::NotSent(e.to_string()))?;
        let mut out = self
            .client
            .request(method, http::url(&self.base, &req.path))
            .header("Request-Id", req.id.to_string());
        if !req.media.is_empty() {
            out = out.header(CONTENT_TYPE, &req.media);
        }
        let resp = http::send(out.body(req.body.clone()), limit).await?;
        let head = Head {
            status: resp.status().as_u16(),
            media: http::media(&resp),
            version: None,
            id: http::header(&resp, "request-id").and_then(|v| v.parse().ok()),
        };
        Ok(PlainRun { resp, head })
    }

    async fn resume(
        &self,
        _req: &RunRequest,
        _from: u32,
        _limit: Millis,
    ) -> Result<PlainRun, EndpointError> {
        Err(EndpointError::Missing)
    }

    async fn cancel(&self, _id: RequestId) {}

    async fn status(&self) -> Result<EndpointStatus, EndpointError> {
        let connect = tokio::net::TcpStream::connect(&self.authority);
        match tokio::time::timeout(PROBE_TIMEOUT.duration(), connect).await {
            Ok(Ok(_)) => Ok(EndpointStatus::default()),
            Ok(Err(e)) => Err(EndpointError::NotSent(e.to_string())),
            Err(_) => Err(EndpointError::Silent(PROBE_TIMEOUT)),
        }
    }

    async fn load(&self, _order: LoadOrder) -> Result<(), EndpointError> {
        Err(EndpointError::NotSent(
            "a plain service loads no weights".to_owned(),
        ))
    }

    async fn cache_events(&self, from: u64) -> Result<CacheEvents, EndpointError> {
        Ok(CacheEvents {
            next: from,
            prefixes: Vec::new(),
        })
    }

    async fn drained(&self) -> Result<bool, EndpointError> {
        Ok(true)
    }
}

impl Run for PlainRun {
    fn head(&self) -> &Head {
        &self.head
    }

    async fn next(&mut self, limit: Millis) -> Result<Part, EndpointError> {
        http::raw_part(&mut self.resp, self.head.id, limit).await
    }
}
