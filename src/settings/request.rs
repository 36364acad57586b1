//! Requests of a service.

use std::{fmt, str::FromStr};

use super::{
    section::section,
    value::{from_text, Value, ValueError},
};
use crate::base::{Millis, Size};

/// An HTTP method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `DELETE`
    Delete,
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        })
    }
}

impl FromStr for Method {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "GET" => Ok(Self::Get),
            "POST" => Ok(Self::Post),
            "PUT" => Ok(Self::Put),
            "DELETE" => Ok(Self::Delete),
            _ => Err(format!(
                "`{s}` is not a method; use `GET`, `POST`, `PUT` or `DELETE`"
            )),
        }
    }
}

impl Value for Method {
    const KIND: &'static str = "method";

    fn parse(text: &str) -> Result<Self, ValueError> {
        from_text(text)
    }
}

section! {
    /// Bounds and semantics of a service's requests.
    Request = "request" {
        "Time to answer a request if the caller names no deadline."
        deadline: Millis = "30s", "10ms", "1h", Workspace;
        "Longest time without progress of an answer before the connection counts as silent."
        stall: Millis = "2s", "50ms", "60s", Service;
        "Largest request body."
        body: Size = "1MiB", "1B", "16MiB", Workspace;
        "Methods whose requests may run more than once."
        repeatable: Vec<Method> = "GET", "", "", Service;
    }
}
