//! Follows the control stream and keeps the agreed state of this process.

mod append;
mod follow;
mod replica;
mod run;
mod serve;
pub mod snapshot;
mod subscribe;
mod writer;

pub use append::{append, AppendError};
pub use follow::{follow, LogReader, Polled};
pub use replica::{Cause, Missing, Replica, Status};
pub use run::run;
pub use serve::serve;
pub use subscribe::catch_up;
pub use writer::write_snapshots;
