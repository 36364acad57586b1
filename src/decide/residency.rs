//! Data residency: in which regions requests may be served, and which zones these are.
//!
//! | load | what happens |
//! |---|---|
//! | a route or a workspace lists regions | only endpoints of zones in these regions are eligible |
//! | both list regions | only endpoints in regions of both lists are |
//! | no name is left in the list, or no zone is in its regions | no endpoint is |
//! | an endpoint's zone is in no known region | it is eligible only without a list |

use std::{
    hash::{Hash, Hasher},
    rc::Rc,
};

use crate::base::{HashMap, HashSet, Region, Zone};

/// Region of each availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions(HashMap<Zone, Region>);

impl FromIterator<(Zone, Region)> for ZoneRegions {
    fn from_iter<T: IntoIterator<Item = (Zone, Region)>>(zones: T) -> Self {
        Self(zones.into_iter().collect())
    }
}

impl ZoneRegions {
    /// Returns the region of a zone, if it is known.
    pub fn region(&self, zone: &str) -> Option<&Region> {
        self.0.get(zone)
    }

    /// Returns the zones of a region.
    fn zones<'a>(&'a self, region: &'a Region) -> impl Iterator<Item = &'a Zone> {
        let inside = self.0.iter().filter(move |(_, r)| *r == region);
        inside.map(|(zone, _)| zone)
    }
}

/// The regions that a route or a workspace allows. No zone is allowed until [`Self::resolve`] is called.
#[derive(Clone, Debug, Default)]
pub struct AllowedRegions {
    /// Names as configured, in order and without duplicates.
    regions: Vec<Region>,
    /// Zones in these regions.
    zones: HashSet<Zone>,
}

impl FromIterator<Region> for AllowedRegions {
    fn from_iter<T: IntoIterator<Item = Region>>(regions: T) -> Self {
        let mut regions: Vec<_> = regions.into_iter().collect();
        regions.sort_unstable();
        regions.dedup();
        Self {
            regions,
            zones: HashSet::default(),
        }
    }
}

// The zones follow from the regions.
impl PartialEq for AllowedRegions {
    fn eq(&self, other: &Self) -> bool {
        self.regions == other.regions
    }
}

impl Eq for AllowedRegions {}

impl Hash for AllowedRegions {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.regions.hash(state);
    }
}

impl AllowedRegions {
    /// Determines the zones of the regions, so that a check of an endpoint is one look-up.
    pub fn resolve(&mut self, map: &ZoneRegions) {
        let zones = self.regions.iter().flat_map(|r| map.zones(r));
        self.zones = zones.cloned().collect();
    }

    /// Returns the allowed regions, known or not.
    pub fn regions(&self) -> &[Region] {
        &self.regions
    }

    /// Returns whether a zone is in an allowed region.
    pub fn allows(&self, zone: &Zone) -> bool {
        self.zones.contains(zone)
    }

    /// Returns whether a region is allowed.
    pub fn contains(&self, region: &Region) -> bool {
        self.regions.binary_search(region).is_ok()
    }

    /// Returns whether no zone is allowed.
    pub fn is_closed(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns whether these and others have no zone in common.
    pub fn is_disjoint(&self, other: &Self) -> bool {
        self.zones.is_disjoint(&other.zones)
    }
}

/// Where one request may be served: what its route and its workspace allow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Residency {
    route: Option<Rc<AllowedRegions>>,
    workspace: Option<Rc<AllowedRegions>>,
}

impl Residency {
    /// Creates the residency of a request; `None` is no restriction.
    pub fn new(route: Option<Rc<AllowedRegions>>, workspace: Option<Rc<AllowedRegions>>) -> Self {
        Self { route, workspace }
    }

    /// Returns the lists of the route and of the workspace; `None` is no restriction.
    pub fn lists(&self) -> (Option<&AllowedRegions>, Option<&AllowedRegions>) {
        (self.route.as_deref(), self.workspace.as_deref())
    }

    /// Returns whether not all endpoints may serve the request.
    pub fn is_restricted(&self) -> bool {
        self.route.is_some() || self.workspace.is_some()
    }

    /// Returns whether endpoints in a zone may serve the request.
    pub fn allows(&self, zone: &Zone) -> bool {
        let mut lists = self.route.iter().chain(&self.workspace);
        lists.all(|list| list.allows(zone))
    }
}

/// Regions whose entries a caller of a host may be sent to: its own, and those that all restricted routes of the host
/// allow. The default is any.
#[derive(Clone, Debug, Default)]
pub struct EntryScope<'a> {
    map: Option<&'a ZoneRegions>,
    /// Region of the caller, if it is known.
    home: Option<&'a str>,
    /// Lists of the routes that have one.
    lists: Vec<&'a AllowedRegions>,
    prefers_home: bool,
}

impl<'a> EntryScope<'a> {
    /// Creates the scope of a caller that is in the region `home`, or else in that of its zone. `lists` are those of the
    /// host's routes; `None` if the routes are not known yet, so that entries of the own region are safe.
    pub fn new(
        map: &'a ZoneRegions,
        home: &'a str,
        zone: &str,
        lists: Option<Vec<&'a AllowedRegions>>,
    ) -> Self {
        let by_zone = || map.region(zone).map(Region::as_str);
        Self {
            map: Some(map),
            home: Some(home).filter(|h| !h.is_empty()).or_else(by_zone),
            prefers_home: lists.as_ref().is_none_or(|l| !l.is_empty()),
            lists: lists.unwrap_or_default(),
        }
    }

    fn region(&self, zone: &Zone) -> Option<&'a Region> {
        self.map?.region(zone.as_str())
    }

    /// Returns whether entries of a zone are in the caller's region, and these come before others.
    pub fn prefers(&self, zone: &Zone) -> bool {
        self.prefers_home && self.is_home(zone)
    }

    fn is_home(&self, zone: &Zone) -> bool {
        let region = self.region(zone).map(Region::as_str);
        region.is_some() && region == self.home
    }

    /// Returns whether the caller may be sent to entries of a zone.
    pub fn admits(&self, zone: &Zone) -> bool {
        if self.lists.is_empty() || self.is_home(zone) {
            return true;
        }
        let region = self.region(zone);
        region.is_some_and(|r| self.lists.iter().all(|l| l.contains(r)))
    }
}
