//! Option values and their text forms.

use std::str::FromStr;

use crate::base::{Digest, Millis, Percent, Rate, Region, Size, VersionName};

/// An option value that is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// The text does not have the option's type or unit.
    #[error("{0}")]
    Form(String),
    /// The value is outside of the option's range.
    #[error("`{value}` is out of range; use {min} to {max}")]
    Range {
        /// The refused value.
        value: String,
        /// Smallest accepted value.
        min: &'static str,
        /// Largest accepted value.
        max: &'static str,
    },
    /// No option has this name.
    #[error("unknown option `{0}`; see the table in docs/settings.md")]
    Unknown(String),
}

/// A type that an option can have.
pub trait Value: Sized + PartialOrd {
    /// Name of the type in the options table.
    const KIND: &'static str;

    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// Returns [`ValueError::Form`] if the text has another form or unit.
    fn parse(text: &str) -> Result<Self, ValueError>;
}

/// Parses a value and checks its range; an empty range is unlimited.
pub(crate) fn parse_in<T: Value>(
    text: &str,
    min: &'static str,
    max: &'static str,
) -> Result<T, ValueError> {
    let value = T::parse(text)?;
    let below = !min.is_empty() && value < T::parse(min)?;
    let above = !max.is_empty() && value > T::parse(max)?;
    if below || above {
        return Err(ValueError::Range {
            value: text.to_owned(),
            min,
            max,
        });
    }
    Ok(value)
}

/// Parses through `FromStr`, keeping the error's text.
pub(crate) fn from_text<T: FromStr>(text: &str) -> Result<T, ValueError>
where
    T::Err: ToString,
{
    text.parse()
        .map_err(|e: T::Err| ValueError::Form(e.to_string()))
}

macro_rules! value {
    ($($t:ty, $kind:literal;)+) => {
        $(impl Value for $t {
            const KIND: &'static str = $kind;

            fn parse(text: &str) -> Result<Self, ValueError> {
                from_text(text)
            }
        })+
    };
}

value! {
    Millis, "duration";
    Size, "size";
    Rate, "rate";
    Percent, "share";
    Digest, "hash";
    VersionName, "name";
    Region, "name";
}

impl Value for u32 {
    const KIND: &'static str = "number";

    fn parse(text: &str) -> Result<Self, ValueError> {
        text.parse().map_err(|_| {
            ValueError::Form(format!("`{text}` is not a whole number; write digits only"))
        })
    }
}

impl Value for bool {
    const KIND: &'static str = "switch";

    fn parse(text: &str) -> Result<Self, ValueError> {
        match text {
            "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(ValueError::Form(format!(
                "`{text}` is not a switch; use `true` or `false`"
            ))),
        }
    }
}

impl<T: Value> Value for Option<T> {
    const KIND: &'static str = T::KIND;

    fn parse(text: &str) -> Result<Self, ValueError> {
        if text == "none" {
            return Ok(None);
        }
        T::parse(text).map(Some)
    }
}

impl<T: Value> Value for Vec<T> {
    const KIND: &'static str = "list";

    fn parse(text: &str) -> Result<Self, ValueError> {
        text.split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .map(T::parse)
            .collect()
    }
}
