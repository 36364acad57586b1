//! Routing across zones at an entry: what it knows of the zones, and what its requests elsewhere cost.

use super::{
    catalog::ServiceSpec,
    context::Context,
    endpoint_table::EndpointId,
    log_event,
    metrics::RegionLabels,
    spill::{Spills, Traffic},
};
use crate::{
    base::{Excerpt, HashMap, Millis, Service, Zone},
    decide::spill::{EndpointFigure, Spill, SpillSite, SpillView, ZoneLoad},
    emit,
};

/// Time without a heartbeat from any entry of a zone after which the loads there are no longer known.
const ZONE_SILENCE: Millis = Millis(1200);

/// Least time between two log lines of changed shares.
const LOG_INTERVAL: Millis = Millis(1000);

impl Context {
    /// Logs the fields of the settings that cannot be used.
    pub(super) fn log_routing_faults(&self) {
        for fault in &self.settings.routing.faults {
            emit!(
                log_event::PROCESS,
                "state=settings reason=\"{}\"",
                Excerpt(fault)
            );
        }
    }

    /// Recomputes the shares of all services whose requests are routed across zones.
    pub(super) fn update_spills(&self) {
        let now = self.now();
        let catalog = self.catalog.borrow().clone();
        let mut spills = self.spills.borrow_mut();
        let Spills {
            services: spills,
            logged,
        } = &mut *spills;
        let Some(catalog) = catalog else {
            return;
        };
        spills.retain(|service, _| catalog.services.contains_key(service));
        let pending = self.settings.routing.prices.is_some() && self.is_load_pending();
        for (service, spec) in &catalog.services {
            if !spills.contains_key(service) && !self.routes_across_zones(service) {
                continue;
            }
            let spill = spills.entry(service.clone()).or_insert_with(|| {
                Spill::new(SpillSite {
                    zone: self.settings.zone.clone(),
                    region: self.settings.region.clone(),
                    prices: self.settings.routing.prices.unwrap_or_default(),
                })
            });
            let view = self.spill_view(service, spec, pending, now);
            spill.set_zones(view.zones.iter().map(|(zone, _)| {
                let region = self.settings.zones.region(zone.as_str()).cloned();
                let time = spec.delays.round_trip(&self.settings.zone, zone);
                (zone.clone(), region, time)
            }));
            spill.update(&view, now);
            if logged.is_some_and(|at| now < at + LOG_INTERVAL) {
                continue;
            }
            if let Some(shares) = spill.changed_shares() {
                *logged = Some(now);
                emit!(log_event::SPILL, "service={service} shares={shares}");
            }
        }
    }

    /// Counts the bodies of a request that was sent to an endpoint, in bytes.
    pub(super) fn count_traffic(&self, id: &EndpointId, traffic: Traffic) {
        let Traffic { sent, received } = traffic;
        if sent == 0 && received == 0 {
            return;
        }
        let table = self.endpoints.borrow();
        let Some(e) = table.get(id) else {
            return;
        };
        if let Some(spill) = self.spills.borrow_mut().services.get_mut(&e.record.service) {
            spill.count(sent, received);
        }
        let own = e.record.zone == self.settings.zone;
        let known = self.settings.zones.region(e.record.zone.as_str());
        let to = known.or(own.then_some(&self.settings.region));
        let labels = RegionLabels {
            from: self.settings.region.to_string(),
            to: to.map_or_else(|| "unknown".to_owned(), ToString::to_string),
        };
        self.metrics.region_requests.get_or_create(&labels).inc();
        let bytes = (sent + received) as u64;
        self.metrics
            .region_bytes
            .get_or_create(&labels)
            .inc_by(bytes);
    }

    /// Returns whether the settings or the endpoints of a service enable routing across zones.
    fn routes_across_zones(&self, service: &Service) -> bool {
        let table = self.endpoints.borrow();
        let balancer = self.balancer.borrow();
        self.settings.routing.prices.is_some()
            || table
                .of_service(service)
                .any(|e| balancer.reports_pace(&e.id))
    }

    /// Collects what is known of the zones of a service.
    fn spill_view(
        &self,
        service: &Service,
        spec: &ServiceSpec,
        load_pending: bool,
        now: Millis,
    ) -> SpillView {
        let table = self.endpoints.borrow();
        let (balancer, members) = (self.balancer.borrow(), self.members.borrow());
        let (cold, evacuation) = (self.cold.borrow(), self.evacuation.borrow());
        let own = &self.settings.zone;
        let mut zones: HashMap<&Zone, (bool, ZoneLoad)> = HashMap::default();
        for e in table.of_service(service) {
            let zone = &e.record.zone;
            let (heard, load) = zones.entry(zone).or_insert_with(|| {
                (
                    members.is_zone_heard(zone, ZONE_SILENCE, now),
                    ZoneLoad::default(),
                )
            });
            let loading = spec.weights.is_some() && e.record.models.is_empty();
            let idle = e.record.draining || loading || cold.is_cold(e, now);
            let known = balancer.summary(&e.id, now);
            load.add(EndpointFigure {
                slots: if idle { 0 } else { e.record.slots },
                pace: known.pace,
                // The own zone's demand must not be guessed: what is not known there does not count.
                load: known
                    .load
                    .filter(|l| l.sure && *heard || zone == own)
                    .map(|l| l.requests),
                own: known.own,
                part: evacuation.share(zone, now),
            });
        }
        let entries = members.ready_entries(now);
        let region = |zone: &Zone| self.settings.zones.region(zone.as_str());
        let in_region = |zone: &Zone| zone == own || region(zone) == Some(&self.settings.region);
        SpillView {
            zones: zones.into_iter().map(|(z, l)| (z.clone(), l.1)).collect(),
            zone_entries: entries.iter().filter(|e| e.zone == *own).count(),
            region_entries: entries.iter().filter(|e| in_region(&e.zone)).count(),
            load_pending,
        }
    }
}
