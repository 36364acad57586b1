//! Asks all processes of the host list in parallel.

use std::net::SocketAddr;

use futures_util::{stream, StreamExt};
use reqwest::{Client, Method};

use super::OperatorError;
use crate::{
    backing::{HostList, HttpPlatform},
    base::{Millis, ProcessName},
    observe::ProcessStatus,
    wire::HostEntry,
};

/// Processes asked at once.
///
/// A round over 1,611 processes of which 202 did not answer took 4.1 s (trial on one machine).
const PARALLEL: usize = 128;

/// Time for one answer; an operator waits for the slowest.
const ANSWER_TIMEOUT: Millis = Millis(2000);

/// Largest answer that is read, in bytes.
const ANSWER_MAX: usize = 4 << 20;

/// The processes of a deployment.
#[derive(Clone, Debug)]
pub struct Fleet {
    client: Client,
    /// Processes in the host list, by name; the list lags by seconds.
    pub hosts: Vec<HostEntry>,
}

/// The answer of one process.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The process in the host list.
    pub host: HostEntry,
    /// Its status, or why there is none.
    pub status: Result<ProcessStatus, String>,
}

impl Fleet {
    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn read(platform: &HttpPlatform) -> Result<Self, OperatorError> {
        let mut hosts = platform.hosts().await?.hosts;
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts.dedup_by(|a, b| a.name == b.name);
        let client = Client::builder()
            .timeout(ANSWER_TIMEOUT.duration())
            .no_proxy()
            .build()
            .map_err(|e| OperatorError::Refused(e.to_string()))?;
        Ok(Self { client, hosts })
    }

    /// Finds a process by name.
    ///
    /// # Errors
    ///
    /// Returns an error with the nearest name if the list does not have it.
    pub fn find(&self, name: &str) -> Result<&HostEntry, OperatorError> {
        let names = || self.hosts.iter().map(|h| h.name.as_str());
        self.hosts
            .iter()
            .find(|h| h.name.as_str() == name)
            .ok_or_else(|| {
                let hint = crate::settings::nearest(name, names()).map_or_else(
                    || "see `sesamewing status` for the names".to_owned(),
                    |h| format!("did you mean `{h}`?"),
                );
                OperatorError::Refused(format!("`{name}` is not in the host list; {hint}"))
            })
    }

    /// Calls the operator API of one process and returns the body.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn call(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
    ) -> Result<Vec<u8>, String> {
        let request = self.client.request(method, format!("http://{at}{path}"));
        let reason = |e: reqwest::Error| {
            if e.is_timeout() {
                return format!("no answer within {ANSWER_TIMEOUT}");
            }
            if e.is_connect() {
                return "no connection".to_owned();
            }
            e.without_url().to_string()
        };
        let mut resp = request.send().await.map_err(reason)?;
        let status = resp.status();
        let mut body = Vec::new();
        while let Some(part) = resp.chunk().await.map_err(reason)? {
            if body.len() + part.len() > ANSWER_MAX {
                return Err("the answer is larger than 4 MiB; ask for a shorter time".to_owned());
            }
            body.extend_from_slice(&part);
        }
        if status.is_success() {
            return Ok(body);
        }
        Err(format!(
            "{status} {}",
            String::from_utf8_lossy(&body).trim()
        ))
    }

    /// Calls the same path of every process; answers are in the order of the host list.
    pub async fn ask(&self, path: &str) -> Vec<(HostEntry, Result<Vec<u8>, String>)> {
        // Calls that wait for the order of the list would hold the places of later ones behind each silent process.
        let mut answers: Vec<_> = stream::iter(self.hosts.iter().enumerate())
            .map(|(i, h)| async move { (i, self.call(Method::GET, h.operator, path).await) })
            .buffer_unordered(PARALLEL)
            .collect()
            .await;
        answers.sort_by_key(|(i, _)| *i);
        let hosts = self.hosts.iter().cloned();
        hosts.zip(answers.into_iter().map(|(_, a)| a)).collect()
    }

    /// Asks every process for its status.
    pub async fn statuses(&self) -> Vec<Answer> {
        let answers = self.ask("/status").await;
        let decode = |(host, body): (HostEntry, Result<Vec<u8>, String>)| {
            let status = body.and_then(|b| parse(&host.name, &b));
            Answer { host, status }
        };
        answers.into_iter().map(decode).collect()
    }
}

/// Decodes a status; a process under another name took over the address.
fn parse(name: &ProcessName, body: &[u8]) -> Result<ProcessStatus, String> {
    let status: ProcessStatus = serde_json::from_slice(body)
        .map_err(|e| format!("the status is malformed ({e}); update this program"))?;
    if status.name != *name {
        return Err(format!("`{}` answers on its address", status.name));
    }
    Ok(status)
}
