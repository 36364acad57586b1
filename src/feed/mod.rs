//! Follows the control stream and keeps the agreed state of this process.

mod append;
mod follow;
mod replica;

pub use append::{append, AppendError};
pub use follow::follow;
pub use replica::{Replica, Status};
