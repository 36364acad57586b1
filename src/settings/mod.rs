//! The settings tree: options with defaults and ranges, and the values in force for each service and workspace.
//!
//! Each option belongs to a section, which is one struct in one file with every default. Options register themselves
//! in [`OPTIONS`], from which the reader, the checks and the table in `docs/settings.md` are derived.

mod access;
mod burst;
mod check;
mod claim;
mod fields;
mod limit;
mod log;
mod problem;
mod request;
mod resolve;
mod retry;
mod route;
mod section;
mod tree;
mod value;
mod weights;
pub(crate) mod yaml;

pub use access::Access;
pub use burst::Burst;
pub use check::{Check, Subject, CHECKS};
pub use claim::ClaimConfig;
pub(crate) use fields::{nearest, Fields};
pub use limit::Limit;
pub use log::LogConfig;
pub(crate) use problem::PROBLEMS_MAX;
pub use problem::{Problem, Problems};
pub use request::{Method, Request};
pub use resolve::{InForce, ServiceSettings, WorkspaceSettings};
pub use retry::Retry;
pub use route::{Policy, Route};
pub use section::{Level, Section, Spec, OPTIONS};
pub use tree::Tree;
pub use value::{Value, ValueError};
pub use weights::{Prefer, Weights};
pub(crate) use yaml::Node;
pub use yaml::FILE_MAX;
