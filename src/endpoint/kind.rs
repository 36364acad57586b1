//! Endpoint kinds, for the checks of the process settings.

use linkme::distributed_slice;

use crate::process::{EndpointKind, EndpointSettings};

/// All endpoint kinds of the linked modules.
#[distributed_slice]
pub static KINDS: [KindSpec];

/// An endpoint kind.
#[derive(Clone, Copy, Debug)]
pub struct KindSpec {
    /// Name in the process settings.
    pub name: &'static str,
    /// The kind.
    pub kind: EndpointKind,
    /// Checks settings of this kind; the error names the remedy.
    pub check: fn(&EndpointSettings) -> Result<(), String>,
}

#[distributed_slice(KINDS)]
static ENGINE: KindSpec = KindSpec {
    name: "engine",
    kind: EndpointKind::Engine,
    check: check_address,
};

#[distributed_slice(KINDS)]
static PLAIN: KindSpec = KindSpec {
    name: "plain",
    kind: EndpointKind::Plain,
    check: check_address,
};

fn check_address(s: &EndpointSettings) -> Result<(), String> {
    let url = reqwest::Url::parse(&s.address);
    match url {
        Ok(u) if u.scheme() == "http" && u.host_str().is_some() => Ok(()),
        _ => Err(format!(
            "`{}` is not an address; use `http://ADDRESS:PORT`",
            s.address
        )),
    }
}

/// Checks endpoint settings by their kind.
///
/// # Errors
///
/// Returns a text that names the remedy.
pub fn check(s: &EndpointSettings) -> Result<(), String> {
    match KINDS.iter().find(|k| k.kind == s.kind) {
        Some(k) => (k.check)(s),
        None => Err("this build does not have the endpoint kind; use another build".to_owned()),
    }
}
