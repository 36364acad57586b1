//! Follows the control stream and keeps the agreed state of this process.

mod append;
mod follow;
mod replica;
pub mod snapshot;

pub use append::{append, AppendError};
pub use follow::{follow, LogReader, Polled};
pub use replica::{Cause, Missing, Replica, Status};
