//! Log lines and metrics of the speed of endpoints, and of what this entry knows of their load.

use super::{context::Context, log_event, metrics::EndpointLabel};
use crate::emit;

impl Context {
    /// Logs the endpoints that began to count as slow, and those that no longer do.
    pub(super) fn update_slow_endpoints(&self) {
        let changes = self.balancer.borrow_mut().update_slow(self.now());
        for change in changes {
            let state = if change.slow { "slow" } else { "usual" };
            let time = change
                .time
                .map_or("unknown".to_owned(), |t| format!("{t:.2}"));
            emit!(
                log_event::SPEED,
                "endpoint={} state={state} time={time}",
                change.id
            );
        }
    }

    /// Brings the metrics of the speed and the load of endpoints up to date.
    pub(super) fn set_speeds(&self) {
        let (balancer, now) = (self.balancer.borrow(), self.now());
        // Endpoints that this entry no longer owns are left out.
        self.metrics.endpoint_time.clear();
        for id in self.owned.borrow().iter() {
            if let Some(time) = balancer.endpoint_time(id, now) {
                let label = EndpointLabel {
                    endpoint: id.to_string(),
                };
                self.metrics.endpoint_time.get_or_create(&label).set(time);
            }
        }
        let slow = balancer.slow_endpoints();
        self.metrics.slow_endpoints.set(slow as i64);
        self.metrics.unknown_loads.set(balancer.unknown_share(now));
    }
}
