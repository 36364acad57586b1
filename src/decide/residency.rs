//! Data residency: in which regions requests may be served, and which zones these are.
//!
//! | load | what happens |
//! |---|---|
//! | a route or a workspace lists regions | only endpoints of zones in these regions are eligible |
//! | both list regions | only endpoints in regions of both lists are |
//! | the list is empty, or no zone is in its regions | no endpoint is |
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
#[derive(Clone, Debug, Default)]
pub struct Residency {
    route: Option<Rc<AllowedRegions>>,
    workspace: Option<Rc<AllowedRegions>>,
}

impl Residency {
    /// Creates the residency of a request; `None` is no restriction.
    pub fn new(route: Option<Rc<AllowedRegions>>, workspace: Option<Rc<AllowedRegions>>) -> Self {
        Self { route, workspace }
    }

    /// Returns whether endpoints in a zone may serve the request.
    pub fn allows(&self, zone: &Zone) -> bool {
        let mut lists = self.route.iter().chain(&self.workspace);
        lists.all(|list| list.allows(zone))
    }
}
