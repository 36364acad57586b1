//! QUIC transport between the system's processes.

mod frame;
mod pace;
mod tls;
mod traffic;
mod transport;
mod watch;

pub use frame::{FrameReceiver, FrameSender};
pub use pace::{Bucket, Pacer};
pub use tls::{TlsError, TlsFiles, SERVER_NAME};
pub use transport::{Call, Incoming, NetError, Transport};
pub(crate) use watch::{follow_reports, Followed};
