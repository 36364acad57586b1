//! What an entry keeps of routing across zones.

use crate::{
    base::{HashMap, Millis, Service},
    decide::spill::Spill,
};

/// Shares of requests that may go to other zones.
#[derive(Debug, Default)]
pub(super) struct Spills {
    /// Of the services for which that is enabled.
    pub(super) services: HashMap<Service, Spill>,
    /// Time of the last log line of changed shares.
    pub(super) logged: Option<Millis>,
}

/// Bytes of the bodies of one request that were sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) sent: usize,
    pub(super) received: usize,
}

/// Shares of the requests to other zones, and the draw that selects a zone for one request.
#[derive(Clone, Copy, Debug)]
pub struct SpillDraw<'a> {
    /// Shares of the service.
    pub spill: &'a Spill,
    /// Uniform number from 0 to 1.
    pub draw: f64,
}
