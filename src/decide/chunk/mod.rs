//! Chunk scheduling: which chunk of a version's weights a host fetches next, and from which source.
//!
//! Each agent runs one [`Scheduler`] for the manifest that it copies. There is no election: the leader of a chunk, the
//! host that seeds it into the region, follows from rendezvous hashing over the host list. Hosts with different lists
//! may therefore fetch duplicate chunks, but no chunk goes missing.

mod bitmap;
mod config;
mod event;
mod first_load;
mod peer;
mod precedence;
mod scheduler;
mod topology;
mod upload;
mod window;

pub use bitmap::Bitmap;
pub use config::Config;
pub use event::{Action, Event, Fault, Source, Waste};
pub use first_load::{FirstLoad, Retention};
pub use precedence::{Progress, Prospect};
pub use scheduler::Scheduler;
pub use topology::{Member, PeerId, Proximity, Topology};
pub use upload::{uploads_max, Requester, Upload};
