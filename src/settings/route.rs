//! Routing of a service's requests.

use std::{fmt, str::FromStr};

use super::{
    section::section,
    value::{from_text, Value, ValueError},
};

/// How an endpoint is chosen among those that can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Two random choices on load, with prompt-prefix affinity.
    Affinity,
    /// Two random choices on load.
    Choices,
    /// Any endpoint, for comparison.
    Random,
    /// The least reported load, for comparison.
    Reported,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Affinity => "affinity",
            Self::Choices => "choices",
            Self::Random => "random",
            Self::Reported => "reported",
        })
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "affinity" => Ok(Self::Affinity),
            "choices" => Ok(Self::Choices),
            "random" => Ok(Self::Random),
            "reported" => Ok(Self::Reported),
            _ => Err(format!(
                "`{s}` is not a policy; use `affinity`, `choices`, `random` or `reported`"
            )),
        }
    }
}

impl Value for Policy {
    const KIND: &'static str = "policy";

    fn parse(text: &str) -> Result<Self, ValueError> {
        from_text(text)
    }
}

section! {
    /// Routing options of a service.
    Route = "route" {
        "How an endpoint is chosen."
        policy: Policy = "affinity", "", "", Service;
        "Agents of the service that each entry watches."
        subset: u32 = "32", "2", "256", Service;
        "Load above the mean at which affinity gives way."
        slack: u32 = "25", "0", "1000", Service;
        "Whether requests may go to another region."
        across: bool = "true", "", "", Service;
    }
}
