//! Reads process settings from YAML.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
};

use super::settings::{EndpointKind, EndpointSettings, Fencing, Links, ProcessSettings};
use crate::{
    base::{Percent, Rate, Size},
    net::TlsFiles,
    settings::{yaml, Fields, Node, Problem, Problems},
    wire::Role,
};

/// Share of the links that weights may use if the file does not say.
const WEIGHTS_SHARE: Percent = Percent(80);

/// Most seeds; each is tried for up to a second.
const SEEDS_MAX: usize = 16;

/// Links of a process that exchanges no weights.
const NO_LINKS: Links = Links {
    down: Rate(0),
    up: Rate(0),
    weights: Percent(0),
    memory: Size(0),
};

/// A base URL.
struct HttpUrl(String);

impl FromStr for HttpUrl {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let err = || format!("`{s}` is not a base URL; use a URL such as `http://127.0.0.1:7100`");
        let url = reqwest::Url::parse(s).map_err(|_| err())?;
        if url.scheme() != "http" || !url.has_host() || url.query().is_some() {
            return Err(err());
        }
        Ok(Self(s.to_owned()))
    }
}

/// An address that other processes can connect to.
struct Bound(SocketAddr);

impl FromStr for Bound {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let addr: SocketAddr = s.parse().map_err(|_| {
            format!("`{s}` is not an address; use an IP number and a port such as `127.0.0.1:7000`")
        })?;
        if addr.port() == 0 {
            return Err(format!(
                "`{s}` has port 0, which other processes cannot find; name a fixed port"
            ));
        }
        if addr.ip().is_unspecified() {
            return Err(format!(
                "`{s}` is a wildcard, which other processes cannot connect to; name the host's own address"
            ));
        }
        Ok(Self(addr))
    }
}

/// Addresses of other processes.
struct Seeds(Vec<SocketAddr>);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let seeds: Vec<SocketAddr> = s
            .split(',')
            .map(|a| a.trim().parse().map(|b: Bound| b.0))
            .collect::<Result<_, _>>()?;
        if seeds.len() > SEEDS_MAX {
            return Err(format!(
                "{} addresses are listed; list at most {SEEDS_MAX} of long-lived processes",
                seeds.len()
            ));
        }
        Ok(Self(seeds))
    }
}

impl FromStr for EndpointKind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err(format!(
                "`{s}` is not an endpoint kind; use `engine` or `plain`"
            )),
        }
    }
}

impl FromStr for Fencing {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "checked" => Ok(Self::Checked),
            "unchecked" => Ok(Self::Unchecked),
            _ => Err(format!(
                "`{s}` does not say who rejects stale tokens; use `checked` or `unchecked`"
            )),
        }
    }
}

impl ProcessSettings {
    /// Reads the settings of a process from its YAML file; relative TLS paths start at the file's folder.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file with line, key and remedy.
    pub fn load(file: &Path, role: Role) -> Result<Self, Problems> {
        let name = file.display().to_string();
        let text = yaml::read(file).map_err(|p| Problems::new(&name, vec![p]))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        Self::parse(&text, folder, role).map_err(|p| Problems::new(name, p))
    }

    /// Reads the settings of a process from YAML text; relative TLS paths start at `folder`.
    ///
    /// # Errors
    ///
    /// Returns every problem with line, key and remedy.
    pub fn parse(text: &str, folder: &Path, role: Role) -> Result<Self, Vec<Problem>> {
        let (node, mut problems) = yaml::parse(text);
        let settings = node.and_then(|n| read(&n, folder, role, &mut problems));
        if settings.is_none() && problems.is_empty() {
            problems.push(Problem::new(
                0,
                "",
                "the file is empty; copy the example in docs/operations.md",
            ));
        }
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }
}

fn read(
    node: &Node,
    folder: &Path,
    role: Role,
    problems: &mut Vec<Problem>,
) -> Option<ProcessSettings> {
    let mut f = Fields::new("", node, problems);
    let name = f.required("name", "east-a-entry-1", problems);
    let region = f.required("region", "east", problems);
    let zone = f.required("zone", "east-a", problems);
    let peer = f.required::<Bound>("peer", "127.0.0.1:7000", problems);
    let operator = f.required::<Bound>("operator", "127.0.0.1:7001", problems);
    let platform = f.required::<HttpUrl>("platform", "http://127.0.0.1:7100", problems);
    let seeds = f.optional::<Seeds>("seeds", problems);
    let tls = read_tls(&mut f, folder, problems);
    let (mut callers, mut guard, mut endpoint, mut links) = (None, None, None, Some(NO_LINKS));
    match role {
        Role::Entry => {
            callers = f.required::<Bound>("callers", "127.0.0.1:7002", problems);
            for key in ["guard", "endpoint", "links"] {
                f.foreign(key, "the key belongs to agents; remove it", problems);
            }
        }
        Role::Agent => {
            guard = f.required::<Bound>("guard", "127.0.0.1:7003", problems);
            endpoint = read_endpoint(&mut f, problems);
            links = read_links(&mut f, problems);
            f.foreign("callers", "the key belongs to entries; remove it", problems);
        }
    }
    check_distinct(
        &f,
        &[
            ("operator", &operator),
            ("callers", &callers),
            ("guard", &guard),
        ],
        problems,
    );
    f.finish(problems);
    if role == Role::Agent && (endpoint.is_none() || guard.is_none()) {
        return None;
    }
    if role == Role::Entry && callers.is_none() {
        return None;
    }
    Some(ProcessSettings {
        name: name?,
        role,
        region: region?,
        zone: zone?,
        peer: peer?.0,
        operator: operator?.0,
        callers: callers.map(|b| b.0),
        guard: guard.map(|b| b.0),
        seeds: seeds.map_or_else(Vec::new, |s| s.0),
        platform: platform?.0,
        tls: tls?,
        endpoint,
        links: links?,
    })
}

/// Reports TCP addresses that are used twice; `peer` is a UDP address and may share a port number.
fn check_distinct(
    f: &Fields<'_>,
    addresses: &[(&str, &Option<Bound>)],
    problems: &mut Vec<Problem>,
) {
    for (i, (key, a)) in addresses.iter().enumerate() {
        for (other, b) in &addresses[..i] {
            if let (Some(a), Some(b)) = (a, b) {
                if a.0 == b.0 {
                    problems.push(Problem::new(
                        f.line_of(key),
                        *key,
                        format!(
                            "`{}` is also the address of `{other}`; use another port",
                            a.0
                        ),
                    ));
                }
            }
        }
    }
}

fn read_tls(f: &mut Fields<'_>, folder: &Path, problems: &mut Vec<Problem>) -> Option<TlsFiles> {
    let Some(node) = f.node("tls") else {
        let example = "{authority: ca.pem, certificate: node.pem, key: node.key}";
        f.missing("tls", example, problems);
        return None;
    };
    let mut f = Fields::new("tls.", node, problems);
    let authority = f.required::<PathBuf>("authority", "ca.pem", problems);
    let certificate = f.required::<PathBuf>("certificate", "node.pem", problems);
    let key = f.required::<PathBuf>("key", "node.key", problems);
    f.finish(problems);
    Some(TlsFiles {
        authority: folder.join(authority?),
        certificate: folder.join(certificate?),
        key: folder.join(key?),
    })
}

fn read_endpoint(f: &mut Fields<'_>, problems: &mut Vec<Problem>) -> Option<EndpointSettings> {
    let Some(node) = f.node("endpoint") else {
        let example = "{kind: engine, address: 'http://127.0.0.1:7200', service: drafts}";
        f.missing("endpoint", example, problems);
        return None;
    };
    let mut f = Fields::new("endpoint.", node, problems);
    let kind = f.required("kind", "engine", problems);
    let address = f.required::<HttpUrl>("address", "http://127.0.0.1:7200", problems);
    let service = f.required("service", "drafts", problems);
    let given = f.node("fencing").is_some();
    let fencing = f.optional("fencing", problems);
    f.finish(problems);
    Some(EndpointSettings {
        kind: kind?,
        address: address?.0,
        service: service?,
        fencing: if given { fencing? } else { Fencing::Unchecked },
    })
}

fn read_links(f: &mut Fields<'_>, problems: &mut Vec<Problem>) -> Option<Links> {
    let Some(node) = f.node("links") else {
        let example = "{down: 20Mbit/s, up: 20Mbit/s, weights: 80%, memory: 512MB}";
        f.missing("links", example, problems);
        return None;
    };
    let mut f = Fields::new("links.", node, problems);
    let down = f.required("down", "20Mbit/s", problems);
    let up = f.required("up", "20Mbit/s", problems);
    let memory = f.required("memory", "512MB", problems);
    let weights = f.optional("weights", problems).unwrap_or(WEIGHTS_SHARE);
    f.finish(problems);
    Some(Links {
        down: down?,
        up: up?,
        weights,
        memory: memory?,
    })
}
