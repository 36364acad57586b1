//! `sesamewing explain`: where an entry would send a request now, and why; nothing is sent to an endpoint.

use hyper::http::uri::Authority;
use linkme::distributed_slice;
use reqwest::{redirect::Policy, Client, Response};
use serde::Deserialize;
use serde_json::json;

use super::{explain_text::text, Command, Invocation, OperatorError, Outcome, COMMANDS};
use crate::{
    base::{Excerpt, Millis, Zone},
    gateway::{
        ExplainReply, ExplainRequest, Explanation, SecretKey, EXPLAIN_BUILD, EXPLAIN_PATH,
        EXPLANATION_MAX,
    },
};

/// Time for the reply of an entry.
const REPLY_TIMEOUT: Millis = Millis(3000);

#[distributed_slice(COMMANDS)]
static EXPLAIN: Command = Command {
    name: "explain",
    args:
        "ENTRY --host HOST --path PATH [--key KEY] [--model M] [--prompt N] [--output N] [--zone Z]",
    summary: "tell where an entry would send a request now, and why",
    free: 1,
    options: |o| {
        o.optopt("", "host", "host that the caller names", "HOST");
        o.optopt("", "path", "path of the request, with its query", "PATH");
        o.optopt("", "key", "key of the caller's workspace", "KEY");
        o.optopt("", "model", "model that the request asks for", "M");
        o.optopt("", "prompt", "number of prompt tokens", "N");
        o.optopt("", "output", "largest number of output tokens", "N");
        o.optopt("", "zone", "list the endpoints of this zone only", "Z");
    },
    run: |i| Box::pin(run(i)),
};

/// What every build of an entry tells of itself.
#[derive(Deserialize)]
struct Build {
    build: String,
}

/// Returns an option that must be present.
fn required(i: &Invocation, name: &str) -> Result<String, OperatorError> {
    let value = i.option::<String>(name)?.filter(|v| !v.is_empty());
    value.ok_or_else(|| OperatorError::Usage(format!("`--{name}` is missing")))
}

/// Returns whether a text can be a header of a request.
fn is_header(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| matches!(b, b' '..=b'~'))
}

fn request(i: &Invocation) -> Result<ExplainRequest, OperatorError> {
    let usage = |text: &str| Err(OperatorError::Usage(text.to_owned()));
    let request = ExplainRequest {
        host: required(i, "host")?,
        path: required(i, "path")?,
        key: i.option("key")?.map(SecretKey),
        model: i.option("model")?,
        prompt: i.option("prompt")?.unwrap_or(0),
        output: i.option("output")?.unwrap_or(0),
        zone: i.option::<Zone>("zone")?,
    };
    if request.host.parse::<Authority>().is_err() || request.host.contains('@') {
        return usage("`--host` is not a host name");
    }
    if !request.path.starts_with('/') || request.path.parse::<hyper::Uri>().is_err() {
        return usage("`--path` is not a path; it begins with `/`");
    }
    if request.key.as_ref().is_some_and(|k| !is_header(&k.0)) {
        return usage("`--key` is not a key; keys are printable ASCII");
    }
    if request.model.as_ref().is_some_and(|m| !is_header(m)) {
        return usage("`--model` is not a model; names are printable ASCII");
    }
    Ok(request)
}

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let entry: Authority = i
        .arg(0)
        .parse()
        .ok()
        .filter(|a: &Authority| a.port_u16().is_some() && !a.as_str().contains('@'))
        .ok_or_else(|| {
            let entry = Excerpt(i.arg(0));
            OperatorError::Usage(format!(
                "`{entry}` is not the address of an entry's metrics; use one such as `10.0.0.7:9464`"
            ))
        })?;
    let request = request(&i)?;
    let explanation = ask(&entry, &request)
        .await
        .map_err(OperatorError::Unexplained)?;
    let json = json!({"build": EXPLAIN_BUILD, "explanation": explanation});
    Ok(Outcome::done(text(&request, &explanation), json))
}

/// Asks an entry for an explanation.
///
/// # Errors
///
/// Returns why there is none, on one line and without the key.
async fn ask(entry: &Authority, request: &ExplainRequest) -> Result<Explanation, String> {
    let client = Client::builder()
        .timeout(REPLY_TIMEOUT.duration())
        .redirect(Policy::none())
        .no_proxy()
        .build()
        .map_err(|e| e.to_string())?;
    let url = format!("http://{entry}{EXPLAIN_PATH}");
    let unreached = |e: reqwest::Error| {
        if e.is_timeout() {
            return format!("no reply from the entry at {entry} within {REPLY_TIMEOUT}");
        }
        format!("no entry is reached at {entry}; check that it is the address of its metrics")
    };
    let sent = client.post(url).json(request).send().await;
    let body = read(sent.map_err(unreached)?).await.map_err(unreached)?;
    let other = |build: &str| {
        format!("the response of {entry} is not from this build ({EXPLAIN_BUILD}){build}")
    };
    let body = body.ok_or_else(|| other(", it is too large"))?;
    let Ok(Build { build }) = serde_json::from_slice(&body) else {
        return Err(other(""));
    };
    if build != EXPLAIN_BUILD {
        return Err(other(&format!(", but from `{}`", Excerpt(&build))));
    }
    let reply: ExplainReply = serde_json::from_slice(&body).map_err(|_| other(""))?;
    match (reply.explanation, reply.error) {
        (Some(explanation), _) => Ok(explanation),
        (None, Some(error)) => Err(format!("the entry at {entry}: {}", Excerpt(&error))),
        (None, None) => Err(other("")),
    }
}

/// Reads the body of a response; `None` if it is larger than an explanation.
async fn read(mut response: Response) -> Result<Option<Vec<u8>>, reqwest::Error> {
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await? {
        if body.len() + part.len() > EXPLANATION_MAX {
            return Ok(None);
        }
        body.extend_from_slice(&part);
    }
    Ok(Some(body))
}
