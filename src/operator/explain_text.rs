//! Explanation of a request as text.

use std::fmt::Display;

use super::table::table;
use crate::gateway::{
    Decision, ExplainRequest, ExplainedPermit, ExplainedRoute, ExplainedSpill, ExplainedState,
    Explanation, Standing,
};

/// Formats an explanation for a person.
pub(super) fn text(request: &ExplainRequest, e: &Explanation) -> String {
    let mut lines = vec![
        format!("request    {}", describe_request(request)),
        format!(
            "entry      {} in zone {}, configuration {}",
            e.entry, e.zone, e.catalog
        ),
    ];
    if let Some(route) = &e.route {
        lines.push(format!("route      {}", describe_route(route)));
        let workspace = e.workspace.as_deref().unwrap_or("none");
        lines.push(format!("workspace  {workspace}"));
        let regions = &e.allowed_regions;
        lines.push(format!(
            "regions    {} by the route, {} by the workspace",
            list(regions.route.as_deref(), "all"),
            list(regions.workspace.as_deref(), "all")
        ));
    }
    lines.push(format!(
        "evacuated  {}",
        list(Some(&e.evacuated_zones), "no zone")
    ));
    if let Some(weights) = &e.weights {
        let oldest = match weights.oldest {
            0 => "any version".to_owned(),
            oldest => format!("version {oldest} or later"),
        };
        lines.push(format!("weights    {}, {oldest}", weights.model));
    }
    if let Some(spill) = &e.spill {
        lines.push(format!("zones      {}", describe_spill(spill)));
    }
    lines.push(format!("decision   {}", describe_decision(e)));
    let excluded = e.excluded.iter().map(|(reason, n)| format!("{n} {reason}"));
    let excluded: Vec<_> = excluded.collect();
    lines.push(format!("excluded   {}", list(Some(&excluded), "none")));
    let mut out = lines.join("\n") + "\n";
    if !e.endpoints.is_empty() {
        out += "\n";
        out += &endpoints(&e.endpoints);
    }
    if e.omitted > 0 {
        out += &format!("and {} endpoints more; choose some by --zone\n", e.omitted);
    }
    out
}

fn describe_request(r: &ExplainRequest) -> String {
    let mut out = format!("{}{}", r.host, r.path);
    if let Some(model) = &r.model {
        out += &format!(", model {model}");
    }
    out + &format!(
        ", {} prompt tokens, at most {} output tokens",
        r.prompt, r.output
    )
}

fn describe_route(route: &ExplainedRoute) -> String {
    let mut out = format!(
        "{} (prefix {}), service {}, priority {}",
        route.name, route.prefix, route.service, route.priority
    );
    if route.targets.len() > 1 {
        let targets = route.targets.iter().map(|(s, w)| format!("{s}:{w}"));
        let targets: Vec<_> = targets.collect();
        out += &format!("; drawn at random by weight from {}", targets.join(" "));
    }
    out
}

fn describe_spill(spill: &ExplainedSpill) -> String {
    let shares = spill.shares.iter().map(|(z, s)| format!("{z}:{s}"));
    let shares: Vec<_> = shares.collect();
    let considers = spill.considers.as_deref().unwrap_or("none of them");
    format!(
        "shares of requests {}; random draw {} selects {considers}",
        list(Some(&shares), "none"),
        spill.draw
    )
}

fn describe_decision(e: &Explanation) -> String {
    match &e.decision {
        Decision::Send {
            endpoint,
            address,
            drawn,
            permit,
        } => {
            let mut out = format!("send to {endpoint} at {address}");
            if *drawn {
                out += &format!(", a random draw among {} possible ones", e.possible);
            }
            if e.may_reject {
                out += "; another draw may reject it";
            }
            if let Some(ExplainedPermit { rate, issuer }) = permit {
                out += &format!("; needs a permit of {issuer} ({rate} requests/s)");
            }
            out
        }
        Decision::Reject {
            status,
            text,
            retry_after_s,
            ..
        } => {
            let wait = retry_after_s.map_or("none".to_owned(), |s| format!("{s} s, jittered"));
            let mut out = format!("reject with {status}: {text} (Retry-After: {wait})");
            if e.possible > 0 {
                out += &format!(
                    "; other draws may send it to one of {} endpoints",
                    e.possible
                );
            }
            out
        }
    }
}

fn endpoints(all: &[ExplainedState]) -> String {
    let heads = [
        "ENDPOINT", "ZONE", "STANDING", "COST", "LOAD", "OWN", "LIMIT", "SLOTS", "PACE", "COLD",
        "WEIGHTS", "RATE", "NOTE",
    ];
    let mut rows = vec![heads.map(str::to_owned).to_vec()];
    rows.extend(all.iter().map(row));
    table(&rows)
}

fn row(e: &ExplainedState) -> Vec<String> {
    vec![
        e.id.clone(),
        e.zone.clone(),
        e.standing.to_string(),
        or_dash(e.cost),
        e.load.to_string(),
        e.own.to_string(),
        e.limit.to_string(),
        e.slots.to_string(),
        e.pace.to_string(),
        if e.cold { "cold" } else { "-" }.to_owned(),
        or_dash(e.version),
        or_dash(e.rate.as_ref()),
        note(e),
    ]
}

/// Says why an endpoint is excluded, or how it competes, and why it gets no requests for a time.
fn note(e: &ExplainedState) -> String {
    let mut out = Vec::new();
    match (&e.text, &e.group, e.standing) {
        (Some(text), _, _) => out.push(text.clone()),
        (None, Some(group), Standing::Behind) => {
            out.push(format!("{group}; others come first"));
        }
        (None, Some(group), _) => out.push(group.clone()),
        _ => {}
    }
    if let Some(share) = e.share {
        out.push(format!("its zone returns, share {share}"));
    }
    let times = [
        ("paused", e.paused_ms),
        ("backoff", e.backoff_ms),
        ("closed", e.closed_ms),
    ];
    let others = times.iter().filter(|t| t.1 > 0);
    let others = others.filter(|t| e.reason.as_deref() != Some(t.0));
    out.extend(others.map(|(name, ms)| format!("{name} for {ms} ms")));
    out.join("; ")
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |v| v.to_string())
}

fn list(names: Option<&[String]>, none: &str) -> String {
    match names {
        Some(names) if !names.is_empty() => names.join(", "),
        _ => none.to_owned(),
    }
}
