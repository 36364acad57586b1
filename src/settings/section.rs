//! Sections of options.

use linkme::distributed_slice;

use super::value::ValueError;

/// All options of all sections.
#[distributed_slice]
pub static OPTIONS: [Spec];

/// The deepest level of the tree at which an option may be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Root only.
    Root,
    /// Root or region.
    Region,
    /// Root, region or service.
    Service,
    /// Every level.
    Workspace,
}

impl Level {
    /// Returns the word for a node of this level.
    pub fn noun(self) -> &'static str {
        match self {
            Self::Root => "root",
            Self::Region => "region",
            Self::Service => "service",
            Self::Workspace => "workspace",
        }
    }
}

/// Description of one option.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Section and name, such as `limit.rate`; unique.
    pub key: &'static str,
    /// Type, as in [`Value::KIND`](super::Value::KIND).
    pub kind: &'static str,
    /// Default as text; valid for the type and within the range.
    pub default: &'static str,
    /// Smallest value as text, empty if unlimited.
    pub min: &'static str,
    /// Largest value as text, empty if unlimited.
    pub max: &'static str,
    /// Deepest level at which it may be set.
    pub level: Level,
    /// One line for the options table.
    pub meaning: &'static str,
    /// Checks a text value.
    pub check: fn(&str) -> Result<(), ValueError>,
}

/// A group of options with defaults.
pub trait Section: Default {
    /// Prefix of the options' keys.
    const NAME: &'static str;

    /// Sets the option `name` (without prefix) from text.
    ///
    /// # Errors
    ///
    /// Returns an error, with the section unchanged, if the option is unknown or the value is not valid.
    fn set(&mut self, name: &str, text: &str) -> Result<(), ValueError>;
}

/// Declares a section: its struct, its defaults and the table entries of its options.
macro_rules! section {
    (
        $(#[$doc:meta])*
        $name:ident = $prefix:literal {
            $($meaning:literal $field:ident: $t:ty = $default:literal, $min:literal, $max:literal, $level:ident;)+
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $(#[doc = $meaning] pub $field: $t,)+
        }

        impl Default for $name {
            fn default() -> Self {
                Self {
                    $($field: <$t as $crate::settings::Value>::parse($default)
                        .expect("defaults are checked by tests"),)+
                }
            }
        }

        impl $crate::settings::Section for $name {
            const NAME: &'static str = $prefix;

            fn set(&mut self, name: &str, text: &str) -> Result<(), $crate::settings::ValueError> {
                match name {
                    $(stringify!($field) => {
                        self.$field = $crate::settings::value::parse_in(text, $min, $max)?;
                    })+
                    _ => {
                        return Err($crate::settings::ValueError::Unknown(format!("{}.{name}", $prefix)))
                    }
                }
                Ok(())
            }
        }

        $(const _: () = {
            #[linkme::distributed_slice($crate::settings::OPTIONS)]
            static SPEC: $crate::settings::Spec = $crate::settings::Spec {
                key: concat!($prefix, ".", stringify!($field)),
                kind: <$t as $crate::settings::Value>::KIND,
                default: $default,
                min: $min,
                max: $max,
                level: $crate::settings::Level::$level,
                meaning: $meaning,
                check: |text| {
                    $crate::settings::value::parse_in::<$t>(text, $min, $max).map(|_| ())
                },
            };
        };)+
    };
}

pub(super) use section;
