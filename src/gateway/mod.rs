//! Entry process that forwards callers' HTTP requests directly to endpoints.
//!
//! Requests are routed by host and path prefix. The catalog, the endpoints and the desired weight versions are records
//! of the platform's store. Two entries of each availability zone read the store and pass its content on to the other
//! entries and to agents; entries run no consensus protocol. Everything here runs on one thread, because an entry host
//! has one small core; tasks share state without locks.

mod abandoned;
mod accept;
mod arrival;
mod assignment;
mod attempt;
mod body;
mod buffers;
mod catalog;
mod choose;
mod cold;
mod cold_time;
mod cold_times;
mod compression;
mod context;
mod datagram;
mod desired;
mod directory;
mod dropped;
mod ended;
mod ending;
mod endpoint_loads;
mod endpoint_query;
mod endpoint_speed;
mod endpoint_table;
mod evacuation;
mod evaluate;
mod events;
mod explain;
mod explanation;
mod follow;
mod followers;
mod forward;
mod gossip;
mod headers;
mod in_flight;
mod issuer;
mod job;
mod limits;
mod load_balancer;
mod load_view;
mod log_end;
mod log_event;
mod log_view;
mod members;
mod memory;
mod message;
mod metrics;
mod mirror;
mod operator_records;
mod ownership;
mod peer_load;
mod peer_tokens;
mod permit_requests;
mod permits;
mod priority;
mod prompt;
mod race;
mod read_ahead;
mod record;
mod reply;
mod reported_load;
mod reported_version;
mod residency;
mod return_times;
mod returning;
mod run;
mod schedule;
mod screen;
mod serve;
mod settings;
mod source;
mod spill;
mod standby;
mod steadiness;
mod store_era;
mod stream;
mod unusable;
mod worth;
mod worth_loads;
mod write_time;
mod zone_reader;
mod zone_routing;

pub use assignment::Assignment;
pub(crate) use assignment::{ASSIGNMENT_PATH, ASSIGNMENT_WAIT};
pub use catalog::{
    CallerLimits, Catalog, CatalogVersion, ChunkLayout, EngineSpeed, OriginSpec, Repeat, Route,
    ServiceSpec, ServiceWeights, WorkspaceSpec,
};
pub use cold_time::ColdTime;
pub use cold_times::{ColdNews, ColdReport, ColdTimes};
pub use compression::{compress, decompress};
pub use desired::DesiredVersions;
pub use directory::{Directory, DirectoryQuery};
pub use endpoint_loads::{EndpointLoad, EndpointLoads};
pub use endpoint_query::{EndpointQuery, MemoryQuery, PendingLoads, WeightRequirement};
pub use endpoint_table::{
    Change, Endpoint, EndpointHash, EndpointId, EndpointTable, EndpointUpdate, TableDelta,
    TableDigest, TableView, RENEWAL,
};
pub use events::{EventError, Events};
pub use explanation::{
    Decision, ExplainReply, ExplainRequest, ExplainedPermit, ExplainedRegions, ExplainedRoute,
    ExplainedSpill, ExplainedState, ExplainedWeights, Explanation, SecretKey, Standing,
    EXPLAIN_BUILD, EXPLAIN_PATH, EXPLANATION_MAX,
};
pub use follow::{follow, read_list, Follower};
pub use headers::Headers;
pub use issuer::{Grant, Issuers, PermitId, PermitReply, PermitRequest, PermitTerms};
pub use limits::{Limit, LimitReport, Limits, Observation};
pub use load_balancer::{
    EndpointView, Exclusion, ExplainedChoice, ExplainedEndpoint, Group, LoadBalancer, Rating,
    Refusal, SpeedChange,
};
pub use load_view::Outcome;
pub use log_view::{LogEnds, LogView};
pub use members::{Heartbeat, Member, Membership, Status};
pub use message::{Appended, DesiredAge, Gossip, Message, ProbeRequest, ReadTimes};
pub use operator_records::{Decode, OperatorFollower, OperatorSink};
pub use ownership::{home_endpoints, owned_endpoints, ReadyEntry};
pub use peer_tokens::{EndpointTokens, PeerTokens};
pub use prompt::shared_parts;
pub use record::{
    EndpointRecord, Incarnation, OperatorRecord, PageStart, Record, RecordFault, RecordStore,
    Records, Revision, StoreError, Topic, WeightVersion,
};
pub use reply::Reject;
pub use reported_load::ReportedLoad;
pub use reported_version::VersionReport;
pub use residency::Unservable;
pub use run::{run, run_with};
pub use schedule::LoadSchedule;
pub use settings::{Bounds, GatewaySettings, HostLimits, Listen, RoutingSettings};
pub use spill::SpillDraw;
pub use steadiness::{ResponseTime, Steadiness};
pub use unusable::UnusableReport;
pub(crate) use write_time::LoggedAge;
pub use write_time::WriteAge;
