//! Explanation of what an entry would do with a request, as entries give it to operators in JSON.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::base::Zone;

/// Path at which an entry explains requests, at the address of its metrics.
pub const EXPLAIN_PATH: &str = "/explain";

/// Build and form of explanations; a program reads those of its own build only.
pub const EXPLAIN_BUILD: &str = concat!("sesamewing ", env!("CARGO_PKG_VERSION"), " explain 1");

/// Largest reply, in bytes.
pub const EXPLANATION_MAX: usize = 64 << 10;

/// Key of a workspace; never shown.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(pub String);

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey")
    }
}

/// The request to be explained.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// Host that the caller names.
    pub host: String,
    /// Path, with the query if there is one.
    pub path: String,
    /// Key of the workspace.
    pub key: Option<SecretKey>,
    /// Model that the request asks for.
    pub model: Option<String>,
    /// Number of prompt tokens; 0 if unknown.
    pub prompt: u32,
    /// Largest number of output tokens; 0 if unknown.
    pub output: u32,
    /// Zone whose endpoints are listed; `None` for all.
    pub zone: Option<Zone>,
}

/// Reply of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainReply {
    /// [`EXPLAIN_BUILD`] of the entry.
    pub build: String,
    /// Why there is no explanation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// The explanation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub explanation: Option<Explanation>,
}

/// What an entry would do with a request now, and why.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the entry.
    pub entry: String,
    /// Zone of the entry.
    pub zone: String,
    /// Version of the catalog in force; 0 before the first one.
    pub catalog: u64,
    /// Route that matches; `None` if the entry rejects all requests.
    pub route: Option<ExplainedRoute>,
    /// Workspace of the key.
    pub workspace: Option<String>,
    /// Regions that the route and the workspace allow.
    pub allowed_regions: ExplainedRegions,
    /// Zones whose endpoints get no requests.
    pub evacuated_zones: Vec<String>,
    /// Model, and the oldest version of it on which the request may begin; `None` if no engine is needed.
    pub weights: Option<ExplainedWeights>,
    /// Shares of requests to other zones; `None` if the cost of other zones is fixed.
    pub spill: Option<ExplainedSpill>,
    /// What would happen.
    pub decision: Decision,
    /// Number of endpoints that the request may be sent to, depending on random draws.
    pub possible: usize,
    /// Whether the request may be rejected, depending on random draws.
    pub may_reject: bool,
    /// Number of endpoints that are excluded, by the reason.
    pub excluded: BTreeMap<String, usize>,
    /// Endpoints of the service: the chosen one, possible ones, the other candidates, those that are excluded.
    pub endpoints: Vec<ExplainedState>,
    /// Number of endpoints that were left out, because the reply would be too large.
    pub omitted: usize,
}

/// Route of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Name of the route.
    pub name: String,
    /// Prefix of its paths.
    pub prefix: String,
    /// Service that serves the request; drawn if there are several.
    pub service: String,
    /// Services of the route, each with its weight.
    pub targets: BTreeMap<String, u32>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Names of allowed regions; `None` is no restriction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExplainedRegions {
    /// Those of the route.
    pub route: Option<Vec<String>>,
    /// Those of the workspace.
    pub workspace: Option<Vec<String>>,
}

/// Weights that a request needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainedWeights {
    /// Model.
    pub model: String,
    /// Oldest version on which the request may begin; 0 if any.
    pub oldest: u64,
}

/// Shares of requests to other zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainedSpill {
    /// Share of the requests that consider a zone, by the zone.
    pub shares: BTreeMap<String, f64>,
    /// Random number that selects the zone for one request.
    pub draw: f64,
    /// Zone that this draw selects; `None` if the request stays in the zone of the entry.
    pub considers: Option<String>,
}

/// What an entry would do with a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Decision {
    /// It sends the request to an endpoint.
    Send {
        /// Endpoint.
        endpoint: String,
        /// Its address.
        address: String,
        /// Whether it was drawn at random among several.
        drawn: bool,
        /// Permit that the entry needs first; `None` if the endpoint does not limit its requests.
        permit: Option<ExplainedPermit>,
    },
    /// It rejects the request.
    Reject {
        /// Status code of the response.
        status: u16,
        /// Reason as one word.
        reason: String,
        /// Text of the response.
        text: String,
        /// `Retry-After` in seconds, jittered; `None` if there is none.
        retry_after_s: Option<f64>,
    },
}

/// Permit for a request to an endpoint that limits its request rate. It is asked for only by requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainedPermit {
    /// Requests per second that the endpoint takes from all entries.
    pub rate: String,
    /// Address of the entry that issues the permits.
    pub issuer: String,
}

/// How an endpoint competes for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It is the choice.
    Chosen,
    /// Another draw may choose it.
    Possible,
    /// It could run the request now, but others come first whatever is drawn.
    Behind,
    /// It does not get the request.
    Excluded,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chosen => "chosen",
            Self::Possible => "possible",
            Self::Behind => "behind",
            Self::Excluded => "excluded",
        })
    }
}

/// An endpoint as the entry knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainedState {
    /// Id of the endpoint.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// How it competes.
    pub standing: Standing,
    /// Why it is excluded, as one word.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The same as text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Whether the entry owns it (`owned`), it competes if it is drawn (`drawn`), or only if no other one takes the request
    /// (`withheld`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Cost of the request there, as a share of its slots; `None` if it is excluded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<f64>,
    /// Share of the requests that consider it, 0 to 1; less than 1 after its zone was put back into service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Requests there, as the entry knows them.
    pub load: u32,
    /// Requests of the entry there.
    pub own: u32,
    /// Load from which it gets no further requests.
    pub limit: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that work takes there, as a multiple of its usual time.
    pub pace: f64,
    /// Whether it is cold.
    pub cold: bool,
    /// Version of the model that it has loaded; `None` if it has none, or none is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Requests per second that it takes from all entries; `None` if it does not limit them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<String>,
    /// Time in milliseconds for which it asked to get no requests.
    pub paused_ms: u64,
    /// Time in milliseconds for which it is skipped after it rejected a request.
    pub backoff_ms: u64,
    /// Time in milliseconds until another permit may be granted.
    pub closed_ms: u64,
}

impl ExplainReply {
    /// Returns the reply with an explanation.
    pub fn explained(explanation: Explanation) -> Self {
        Self {
            build: EXPLAIN_BUILD.to_owned(),
            error: None,
            explanation: Some(explanation),
        }
    }

    /// Returns the reply without one.
    pub fn failed(error: impl Into<String>) -> Self {
        Self {
            build: EXPLAIN_BUILD.to_owned(),
            error: Some(error.into()),
            explanation: None,
        }
    }

    /// Encodes the reply, without the last endpoints if it would exceed [`EXPLANATION_MAX`].
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(mut self) -> serde_json::Result<Vec<u8>> {
        let whole = serde_json::to_vec(&self)?;
        let Some(explanation) = &mut self.explanation else {
            return Ok(whole);
        };
        if whole.len() <= EXPLANATION_MAX {
            return Ok(whole);
        }
        let sizes = explanation.endpoints.iter().map(serde_json::to_vec);
        let sizes: Vec<usize> = sizes.map(|e| Ok(e?.len() + 1)).collect::<Result<_, _>>()?;
        // The count of those that are left out takes some digits.
        let others = whole.len() - sizes.iter().sum::<usize>() + 20;
        let mut room = EXPLANATION_MAX.saturating_sub(others);
        let fits = |size: &&usize| {
            let left = room.checked_sub(**size);
            room = left.unwrap_or(0);
            left.is_some()
        };
        let kept = sizes.iter().take_while(fits).count();
        explanation.omitted += sizes.len() - kept;
        explanation.endpoints.truncate(kept);
        serde_json::to_vec(&self)
    }
}
