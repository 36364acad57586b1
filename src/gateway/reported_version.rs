//! Version of weights that responses of one run of an endpoint reported. It is known sooner than the endpoint's record says it,
//! and a single response may be corrupted.

use super::record::WeightVersion;
use crate::base::Millis;

/// Version that a response reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReport {
    /// Version in the response.
    pub version: WeightVersion,
    /// Newest version that the endpoint may have, as far as it is known: that of its record, or the newest desired one.
    pub newest: WeightVersion,
    /// When the request was sent.
    pub sent: Millis,
}

/// What the responses of one run of an endpoint reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedVersion {
    /// Version that is believed, and when a response last reported it.
    known: Option<(WeightVersion, Millis)>,
    /// Version beyond all known ones that one response reported; believed if another one repeats it.
    claimed: Option<WeightVersion>,
}

impl ReportedVersion {
    /// Returns the version that is believed; the lowest one if there is none.
    pub(super) fn get(&self) -> WeightVersion {
        self.known.map(|k| k.0).unwrap_or_default()
    }

    /// Records what a response reports. Responses overtake each other: a lower version replaces the known one only if the
    /// request was sent after a response had reported that.
    pub(super) fn record(&mut self, report: VersionReport, now: Millis) {
        let VersionReport {
            version,
            newest,
            sent,
        } = report;
        let known = self.get();
        if version > newest.max(known) && self.claimed.replace(version) != Some(version) {
            return;
        }
        let overtaken = self.known.is_some_and(|(_, at)| sent < at);
        if version >= known || !overtaken {
            self.known = Some((version, now));
        }
    }

    /// Drops the version that is believed, because the endpoint rejected a request that expected it.
    pub(super) fn refute(&mut self) {
        self.known = None;
    }
}
