//! The metrics registry of a process.

use std::{
    fmt,
    sync::{Arc, Mutex},
};

use prometheus_client::{encoding::text::encode, registry::Registry};

use crate::base::lock;

/// Registry that the parts of a process add their metrics to at start; cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix("sesamewing"))),
        }
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Metrics {
    /// Registers metrics; they are counted with atomics, so that the registry is not locked by requests.
    pub fn register(&self, f: impl FnOnce(&mut Registry)) {
        f(&mut lock(&self.registry));
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        let registry = lock(&self.registry);
        // Writing to a `String` does not fail.
        let _ = encode(&mut out, &registry);
        out
    }
}
