//! HTTP adapter for the platform's log, weight store and host list.

use bytes::Bytes;
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{de::DeserializeOwned, Deserialize};

use super::{HostList, Log, Page, PlatformError, Stream, WeightStore};
use crate::{
    base::{json, Digest, Millis, Offset, ProcessName},
    kernel::Entry,
    wire::{HostEntry, Hosts},
};

/// Time to open a connection.
const CONNECT_TIMEOUT: Millis = Millis(1000);

/// Time for an answer, on top of the time that the call asks the platform to wait.
const ANSWER_TIMEOUT: Millis = Millis(3000);

/// Time for a manifest or chunk; the store is rate-limited.
const CONTENT_TIMEOUT: Millis = Millis(60_000);

/// Platform client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    base: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct PageBody {
    first: Offset,
    next: Offset,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    time_ms: u64,
    data: String,
}

/// Maps a transport error: only a failed connection is known to have had no effect.
fn transport(e: &reqwest::Error) -> PlatformError {
    if e.is_connect() {
        return PlatformError::Refused(e.to_string());
    }
    PlatformError::Unknown(e.to_string())
}

async fn send(req: RequestBuilder, timeout: Millis) -> Result<Bytes, PlatformError> {
    let resp = req
        .timeout(timeout.duration())
        .send()
        .await
        .map_err(|e| transport(&e))?;
    match resp.status() {
        s if s.is_success() => resp.bytes().await.map_err(|e| transport(&e)),
        StatusCode::NOT_FOUND => Err(PlatformError::Missing(resp.url().path().to_owned())),
        s if s.is_client_error() || s == StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Refused(s.to_string()))
        }
        s => Err(PlatformError::Unknown(s.to_string())),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}

impl HttpPlatform {
    /// Creates a client for the platform at `base`, such as `http://127.0.0.1:7100`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(base: &str) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .no_proxy()
            .build()
            .map_err(|e| PlatformError::Refused(e.to_string()))?;
        Ok(Self {
            client,
            base: base.trim_end_matches('/').to_owned(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }
}

impl Log for HttpPlatform {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, PlatformError> {
        let req = self
            .client
            .post(self.url(&format!("log/{}", stream.name())))
            .body(data);
        Ok(decode::<Appended>(&send(req, ANSWER_TIMEOUT).await?)?.offset)
    }

    async fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<Page, PlatformError> {
        let query = format!(
            "log/{}?from={from}&max={max}&wait_ms={}",
            stream.name(),
            wait.0
        );
        let body = send(self.client.get(self.url(&query)), ANSWER_TIMEOUT + wait).await?;
        let page: PageBody = decode(&body)?;
        let records = page
            .records
            .into_iter()
            .map(RecordBody::entry)
            .collect::<Result<_, _>>()?;
        Ok(Page {
            first: page.first,
            next: page.next,
            records,
        })
    }
}

impl RecordBody {
    fn entry(self) -> Result<Entry, PlatformError> {
        let data = hex::decode(&self.data).map_err(|e| PlatformError::Malformed(e.to_string()))?;
        Ok(Entry {
            offset: self.offset,
            time: Millis(self.time_ms),
            data: data.into(),
        })
    }
}

impl WeightStore for HttpPlatform {
    async fn manifest(&self, id: Digest) -> Result<Bytes, PlatformError> {
        send(
            self.client
                .get(self.url(&format!("weights/manifests/{id}"))),
            CONTENT_TIMEOUT,
        )
        .await
    }

    async fn chunk(&self, id: Digest) -> Result<Bytes, PlatformError> {
        send(
            self.client.get(self.url(&format!("weights/chunks/{id}"))),
            CONTENT_TIMEOUT,
        )
        .await
    }
}

/// Decodes the host list; `None` if the answer is not one. Entries that cannot be decoded are skipped.
fn decode_hosts(body: &[u8]) -> Option<Hosts> {
    let fields = json::members(body)?;
    let entries = json::elements(fields.get(&b"hosts"[..])?)?;
    let decoded = entries.iter().map(|e| serde_json::from_slice(e));
    Some(Hosts {
        hosts: decoded.filter_map(Result::ok).collect(),
    })
}

impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Hosts, PlatformError> {
        let body = send(self.client.get(self.url("hosts")), ANSWER_TIMEOUT).await?;
        let malformed = || PlatformError::Malformed("no list of hosts".to_owned());
        decode_hosts(&body).ok_or_else(malformed)
    }

    async fn announce(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let req = self
            .client
            .put(self.url(&format!("hosts/{}", entry.name)))
            .json(entry);
        send(req, ANSWER_TIMEOUT).await.map(drop)
    }

    async fn remove(&self, name: &ProcessName) -> Result<(), PlatformError> {
        send(
            self.client.delete(self.url(&format!("hosts/{name}"))),
            ANSWER_TIMEOUT,
        )
        .await
        .map(drop)
    }
}
