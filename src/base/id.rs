//! Newtypes for names and numbers that identify things.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

use serde::{
    de::{self, Visitor},
    Deserialize, Deserializer, Serialize, Serializer,
};

/// Longest accepted name, in bytes.
const NAME_MAX: usize = 64;

/// An identifier that does not have the expected form.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
#[error("`{text}` is not valid; use {expected}")]
pub struct IdError {
    text: String,
    expected: &'static str,
}

impl IdError {
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.chars().take(NAME_MAX).collect(),
            expected,
        }
    }
}

fn check_name(s: &str) -> Result<(), IdError> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if s.is_empty() || s.len() > NAME_MAX || !s.chars().all(valid) {
        return Err(IdError::new(s, "1 to 64 letters, digits, `-`, `_` or `.`"));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                check_name(s)?;
                Ok(Self(s.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                // Names occur in every message, so they are checked in place instead of through a `String`.
                struct NameVisitor;

                impl Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a name of 1 to 64 letters, digits, `-`, `_` or `.`")
                    }

                    fn visit_str<E: de::Error>(self, s: &str) -> Result<$name, E> {
                        s.parse().map_err(E::custom)
                    }
                }

                d.deserialize_str(NameVisitor)
            }
        }
    };
}

name!(
    /// Name of a process, unique in the deployment.
    ProcessName
);
name!(
    /// Name of a region.
    Region
);
name!(
    /// Name of an availability zone.
    Zone
);
name!(
    /// Name of a service: a model or a plain service.
    Service
);
name!(
    /// Name of a workspace.
    Workspace
);
name!(
    /// Name of a model version.
    VersionName
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(s: &str) -> Result<Self, IdError> {
                s.parse().map(Self).map_err(|_| IdError::new(s, "a whole number"))
            }
        }
    };
}

number!(
    /// Position of a record in a log stream; the first record has offset 1, 0 means "before the first record".
    Offset(u64)
);
number!(
    /// Fencing token: the offset of the acquisition of a lease.
    Fence(u64)
);
number!(
    /// Attempt number of a request; the first attempt is 1.
    Attempt(u32)
);
number!(
    /// Random number of one run of a process; differs after each restart.
    Instance(u64)
);
number!(
    /// Unique id of a log record; a repeated append carries the same id.
    RecordId(u128)
);

impl Offset {
    /// Returns the offset that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Instance {
    /// Draws a new instance number.
    pub fn random() -> Self {
        Self(fastrand::u64(1..))
    }
}

impl RecordId {
    /// Draws a new record id.
    pub fn random() -> Self {
        Self(fastrand::u128(1..))
    }
}

/// Id of a request, chosen by the caller or the entry.
///
/// Non-repeatable requests must use a version 7 UUID, whose timestamp shows whether the id is older than the
/// deduplication window.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub uuid::Uuid);

impl RequestId {
    /// Creates an id with the current wall-clock time.
    pub fn now() -> Self {
        Self(uuid::Uuid::now_v7())
    }

    /// Returns the creation time in Unix milliseconds, or `None` if this is not a version 7 UUID.
    pub fn created_ms(&self) -> Option<u64> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let b = self.0.as_bytes();
        Some(b[..6].iter().fold(0, |ms, &x| ms << 8 | u64::from(x)))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        s.parse().map(Self).map_err(|_| IdError::new(s, "a UUID"))
    }
}
