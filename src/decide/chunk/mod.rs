//! Which chunk to fetch next, and from whom.
//!
//! Each agent runs one [`Scheduler`] for the manifest it copies. There is no election: leaders of a chunk follow from
//! rendezvous ranks over the host list, so that differing lists cost duplicate chunks, never missing ones.

mod bitmap;
mod config;
mod event;
mod peer;
mod scheduler;
mod topology;
mod window;

pub use bitmap::Bitmap;
pub use config::Config;
pub use event::{Action, Event, Fault, Source, Waste};
pub use scheduler::Scheduler;
pub use topology::{Member, PeerId, Proximity, Topology};
