//! Entry process that forwards callers' HTTP requests directly to endpoints.
//!
//! Requests are routed by host and path prefix. The catalog, the endpoints and the desired weight versions are records
//! of the platform's store. Two entries of each availability zone read the store and pass its content on to the other
//! entries and to agents; entries run no consensus protocol. Everything here runs on one thread, because an entry host
//! has one small core; tasks share state without locks.

mod accept;
mod assignment;
mod balance;
mod catalog;
mod choose;
mod context;
mod directory;
mod evaluate;
mod events;
mod fleet;
mod follow;
mod followers;
mod forward;
mod headers;
mod homes;
mod log_event;
mod members;
mod metrics;
mod named;
mod operator_records;
mod packed;
mod peers;
mod reading;
mod record;
mod reply;
mod run;
mod serve;
mod settings;
mod stream;
mod turns;
mod view;

pub use assignment::Assignment;
pub(crate) use assignment::{ASSIGNMENT_PATH, ASSIGNMENT_WAIT};
pub use balance::{Ask, Balance, Loads, Refusal, Wanted};
pub use catalog::{
    CallerLimits, Catalog, CatalogVersion, EngineSpeed, OriginSpec, Repeat, Route, ServiceSpec,
    ServiceWeights, WorkspaceSpec,
};
pub use directory::Directory;
pub use events::{EventError, EventId, Events};
pub use fleet::{
    Change, Endpoint, EndpointId, EndpointNews, Fleet, FleetDigest, FleetNews, RENEWAL,
};
pub use follow::{follow, Follower};
pub use headers::Headers;
pub use homes::{homes, Place};
pub use members::{Beat, Datagram, EndpointHash, Member, Members, Message, NamedAge, Status};
pub use named::Named;
pub use operator_records::{Decode, OperatorFollower, OperatorSink};
pub use packed::{pack, unpack};
pub use record::{
    EndpointRecord, Intent, Record, RecordStore, Records, Revision, StoreError, Topic,
    WeightVersion,
};
pub use reply::Reject;
pub use run::run;
pub use settings::{Bounds, GatewaySettings, Listen};
pub use turns::Turns;
pub use view::{Load, Outcome};
