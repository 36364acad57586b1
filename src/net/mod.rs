//! QUIC transport between the system's processes.

mod frame;
mod tls;
mod transport;

pub use frame::{FrameReceiver, FrameSender};
pub use tls::{TlsError, TlsFiles, SERVER_NAME};
pub use transport::{Call, Incoming, NetError, Transport};
