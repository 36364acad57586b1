//! Types shared by every module: time, identifiers, units, content hashes and numbered events.

mod clock;
mod era;
pub mod event;
mod excerpt;
mod hash;
mod id;
mod jitter;
pub mod json;
mod lock;
mod request_rate;
mod unit;

pub use clock::{wall_ms, Clock, ManualClock, Millis, SystemClock};
pub use era::Era;
pub use excerpt::Excerpt;
pub use hash::{rendezvous, Digest, HashMap, HashSet};
pub use id::{
    Attempt, Fence, IdError, Instance, Offset, ProcessName, RecordId, Region, RequestId, Service,
    VersionName, Workspace, Zone,
};
pub use jitter::{jitter, spread};
pub use lock::lock;
pub use request_rate::RequestRate;
pub use unit::{Percent, Rate, Size, UnitError};
