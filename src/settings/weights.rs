//! The model version that a service runs.

use std::{fmt, str::FromStr};

use linkme::distributed_slice;

use super::{
    section::section,
    value::{from_text, Value, ValueError},
    Check, Subject, CHECKS,
};
use crate::base::{Digest, Percent, Rate, Region, VersionName};

/// What a rollout saves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prefer {
    /// Time to N replicas, with up to four copies from the origin.
    Time,
    /// Origin bytes, with one copy from the origin.
    Origin,
}

impl fmt::Display for Prefer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Time => "time",
            Self::Origin => "origin",
        })
    }
}

impl FromStr for Prefer {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "time" => Ok(Self::Time),
            "origin" => Ok(Self::Origin),
            _ => Err(format!("`{s}` is not a preference; use `time` or `origin`")),
        }
    }
}

impl Value for Prefer {
    const KIND: &'static str = "preference";

    fn parse(text: &str) -> Result<Self, ValueError> {
        from_text(text)
    }
}

section! {
    /// Version and distribution of a service's weights.
    Weights = "weights" {
        "Name of the version; none for a plain service."
        version: Option<VersionName> = "none", "", "", Service;
        "BLAKE3 hash of the version's manifest."
        manifest: Option<Digest> = "none", "", "", Service;
        "Whether hosts that still run an earlier version answer until the version in the settings reaches them."
        overlap: bool = "true", "", "", Service;
        "What a rollout saves: time or origin."
        prefer: Prefer = "time", "", "", Service;
        "Region of the weight store; none if every region has a store of its own."
        store: Option<Region> = "none", "", "", Root;
        "Rate of the link into the region from the store's region."
        link: Rate = "20Mbit/s", "1kbit/s", "", Region;
        "Share of the inter-region link that weights may use."
        crossing: Percent = "50%", "1%", "100%", Region;
    }
}

#[distributed_slice(CHECKS)]
static PAIR: Check = Check {
    rule: "`weights.version` and `weights.manifest` are set together",
    options: &["weights.version", "weights.manifest"],
    run: |subject| {
        let Subject::Service(s) = subject else {
            return None;
        };
        match (&s.weights.version, &s.weights.manifest) {
            (Some(v), None) => Some(format!(
                "version `{v}` has no manifest; set `weights.manifest` to the hash of its manifest"
            )),
            (None, Some(_)) => Some(
                "the manifest belongs to no version; set `weights.version` or remove the manifest"
                    .to_owned(),
            ),
            _ => None,
        }
    },
};
