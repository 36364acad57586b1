//! How many requests of an availability zone may go to other zones, and what an endpoint there costs.
//!
//! | load | what happens |
//! |---|---|
//! | the own zone has as much room as others | nothing is sent elsewhere |
//! | the own zone is at 1.5 times its capacity, others are idle | requests go elsewhere until the levels differ by the price |
//! | all zones are full | nothing is sent elsewhere |
//! | the load of endpoints elsewhere is unknown or old | they count as full |
//! | a narrow link between regions | the share is limited to this entry's part of the link |
//! | the own zone has room again | the share is withdrawn gradually |

use crate::base::{HashMap, Millis, Rate, Region, Zone};

/// Waiting time in milliseconds that costs as much as a full set of slots.
const MS_PER_SLOTS: f64 = 250.0;

/// Default price of another zone in milliseconds; as a share of the slots it is the fixed cost of 0.12 that applies where
/// this module does not.
const ZONE_PRICE_MS: f64 = 30.0;

/// Cost of an endpoint of a zone for which a request is not selected: above all costs of one that has a free slot.
const WITHHELD_COST: f64 = 4.0;

/// Level up to which the room of other zones is used; the rest is for requests that arrive meanwhile.
const LEVEL_MAX: f64 = 0.9;

/// Part of the known room of another zone that this zone uses; its own callers and those of further zones need some, too.
const ROOM_PART: f64 = 0.8;

/// Largest change of a share in a second. Views are up to 1.2 s old, so that a share moves by less than a fifth before its
/// effect is seen.
const RISE_PER_S: f64 = 0.15;
const FALL_PER_S: f64 = 0.1;

/// Longest time for which one update changes a share; a paused process does not jump.
const STEP_MAX: Millis = Millis(1000);

/// Time constant, in milliseconds, of the moving average of what this entry sends elsewhere: the mean age of the load that
/// it is compared with.
const OWN_TIME: f64 = 600.0;

/// Time constant of the moving averages of the bytes of this entry, in milliseconds.
const TRAFFIC_TIME: f64 = 4000.0;

/// Part of a link between regions that is left to weights while a load is pending, as a divisor.
const WEIGHTS_DIVISOR: f64 = 2.0;

/// Steps of the bisection that finds the common level.
const STEPS: u32 = 40;

/// Change of a share that is worth a log line.
const CHANGE: f64 = 0.05;

/// Prices of requests elsewhere, and the link between regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Time in milliseconds that a caller may wait to stay in its zone.
    pub zone_ms: f64,
    /// Further time in milliseconds that a caller may wait to stay in its region.
    pub region_ms: f64,
    /// Rate of the link between two regions in each direction; `None` if it is not limited.
    pub link: Option<Rate>,
}

impl Default for Prices {
    fn default() -> Self {
        Self {
            zone_ms: ZONE_PRICE_MS,
            region_ms: 0.0,
            link: None,
        }
    }
}

/// One-way delays between availability zones in milliseconds; symmetric where only one direction is known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneDelays(HashMap<(Zone, Zone), f64>);

impl FromIterator<(Zone, Zone, f64)> for ZoneDelays {
    fn from_iter<T: IntoIterator<Item = (Zone, Zone, f64)>>(rows: T) -> Self {
        Self(rows.into_iter().map(|(a, b, ms)| ((a, b), ms)).collect())
    }
}

impl ZoneDelays {
    /// Returns the time to another zone and back in milliseconds; 0 if it is not known.
    pub fn round_trip(&self, from: &Zone, to: &Zone) -> f64 {
        let one_way = |a: &Zone, b: &Zone| self.0.get(&(a.clone(), b.clone())).copied();
        let (there, back) = (one_way(from, to), one_way(to, from));
        there.or(back).unwrap_or(0.0) + back.or(there).unwrap_or(0.0)
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointFigure {
    /// Requests that it can run at once; 0 if it is cold, loading or draining.
    pub slots: u32,
    /// Time that work takes there, as a multiple of its usual time.
    pub pace: f64,
    /// Requests there; `None` if that is not known or old.
    pub load: Option<u32>,
    /// Requests of this entry there.
    pub own: u32,
    /// Part of its slots that it may use, 0 to 1; less than 1 after its zone was put back into service.
    pub part: f64,
}

/// Load and capacity of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Slots, each divided by the pace of its endpoint.
    slots: f64,
    /// Requests.
    load: f64,
    /// Requests of this entry.
    own: f64,
}

impl ZoneLoad {
    /// Adds an endpoint. One of unknown load counts as full. Requests at one without slots finish there, and are no demand.
    pub fn add(&mut self, e: EndpointFigure) {
        if e.slots == 0 {
            return;
        }
        let slots = f64::from(e.slots) * e.part.clamp(0.0, 1.0) / e.pace.max(0.01);
        self.slots += slots;
        self.load += e.load.map_or(slots, f64::from);
        self.own += f64::from(e.own);
    }
}

/// What an entry knows at one time of the zones of a service.
#[derive(Clone, Debug, Default)]
pub struct SpillView {
    /// Loads of the zones, that of the entry among them.
    pub zones: Vec<(Zone, ZoneLoad)>,
    /// Live entries in the entry's zone, itself among them.
    pub zone_entries: usize,
    /// Live entries in the entry's region, itself among them.
    pub region_entries: usize,
    /// Whether endpoints have still to load weights.
    pub load_pending: bool,
}

/// Zone elsewhere.
#[derive(Debug)]
struct Elsewhere {
    zone: Zone,
    /// Time to the zone and back, and the prices with it; as shares of an endpoint's slots.
    network: f64,
    cost: f64,
    /// Whether it is in another region.
    remote: bool,
    /// Moving average of the requests of this entry there.
    own: f64,
    /// Part of the requests that may consider the zone, 0 to 1.
    share: f64,
    /// Share that was logged last.
    logged: f64,
}

/// Bytes of this entry, sent to endpoints and received from them.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    /// Bytes since the last update, in each direction.
    bytes: [f64; 2],
    /// Moving averages of the bytes in a millisecond.
    rates: [f64; 2],
}

/// Where the entry is, and what requests elsewhere cost it.
#[derive(Clone, Debug)]
pub struct SpillSite {
    /// Zone of the entry.
    pub zone: Zone,
    /// Region of the entry.
    pub region: Region,
    /// Prices.
    pub prices: Prices,
}

/// Shares of the requests of one service that may go to other zones.
#[derive(Debug)]
pub struct Spill {
    site: SpillSite,
    elsewhere: Vec<Elsewhere>,
    /// Whether endpoints in the own zone take requests.
    home: bool,
    traffic: Traffic,
    updated: Option<Millis>,
}

/// Returns the weight of the newest figure in a moving average.
fn weight(time: Millis, constant: f64) -> f64 {
    1.0 - (-(time.0 as f64) / constant).exp()
}

/// Another zone in the distribution of requests.
struct ZoneRoom {
    /// Level without the requests of the own zone, plus the extra cost.
    level: f64,
    slots: f64,
    max: f64,
}

impl ZoneRoom {
    /// Returns the requests that the zone gets at a common level.
    fn at(&self, level: f64) -> f64 {
        ((level - self.level) * self.slots).clamp(0.0, self.max)
    }
}

/// Returns the level at which the own zone with `demand` requests and `slots` slots equals all others that it uses.
fn common_level(demand: f64, slots: f64, rooms: &[ZoneRoom]) -> f64 {
    let (mut low, mut high) = (0.0, demand / slots);
    for _ in 0..STEPS {
        let level = (low + high) / 2.0;
        let taken: f64 = rooms.iter().map(|b| b.at(level)).sum();
        if taken + level * slots > demand {
            high = level;
        } else {
            low = level;
        }
    }
    high
}

impl Spill {
    /// Returns the state of an entry that has sent nothing elsewhere.
    pub fn new(site: SpillSite) -> Self {
        Self {
            site,
            elsewhere: Vec::new(),
            home: true,
            traffic: Traffic::default(),
            updated: None,
        }
    }

    /// Counts the bytes of a request's body and response, wherever it was served.
    pub fn count(&mut self, sent: usize, received: usize) {
        self.traffic.bytes[0] += sent as f64;
        self.traffic.bytes[1] += received as f64;
    }

    /// Sets the zones elsewhere with their regions, if these are known, and the times to them and back in milliseconds.
    pub fn set_zones(&mut self, zones: impl Iterator<Item = (Zone, Option<Region>, f64)>) {
        let mut old = std::mem::take(&mut self.elsewhere);
        for (zone, region, round_trip) in zones.filter(|z| z.0 != self.site.zone) {
            let remote = region.as_ref() != Some(&self.site.region);
            let prices = &self.site.prices;
            let region_ms = if remote { prices.region_ms } else { 0.0 };
            let known = old.iter().position(|e| e.zone == zone);
            let mut e = known.map_or_else(
                || Elsewhere {
                    zone,
                    network: 0.0,
                    cost: 0.0,
                    remote,
                    own: 0.0,
                    share: 0.0,
                    logged: 0.0,
                },
                |i| old.swap_remove(i),
            );
            e.remote = remote;
            e.network = round_trip / MS_PER_SLOTS;
            e.cost = (prices.zone_ms + region_ms) / MS_PER_SLOTS + e.network;
            self.elsewhere.push(e);
        }
    }

    /// Recomputes the shares from what is known now.
    pub fn update(&mut self, view: &SpillView, now: Millis) {
        let first = self.updated.is_none();
        let time = (now - self.updated.unwrap_or(now)).min(STEP_MAX);
        self.updated = Some(now);
        let zone_load = |zone: &Zone| {
            let found = view.zones.iter().find(|z| z.0 == *zone);
            found.map(|z| z.1).unwrap_or_default()
        };
        let home = zone_load(&self.site.zone);
        self.home = home.slots > 0.0;
        self.measure(time);
        let entries = view.zone_entries.max(1) as f64;
        let own_weight = if first { 1.0 } else { weight(time, OWN_TIME) };
        for e in &mut self.elsewhere {
            e.own += (zone_load(&e.zone).own - e.own) * own_weight;
        }
        let sent: f64 = self.elsewhere.iter().map(|e| e.own * entries).sum();
        let demand = home.load + sent;
        let rooms: Vec<ZoneRoom> = self
            .elsewhere
            .iter()
            .map(|e| {
                let there = zone_load(&e.zone);
                let load = (there.load - e.own * entries).max(0.0);
                let room = (there.slots * LEVEL_MAX - load).max(0.0);
                ZoneRoom {
                    level: load / there.slots.max(1.0) + e.cost,
                    slots: there.slots,
                    max: room * ROOM_PART,
                }
            })
            .collect();
        let level = if self.home && demand > 0.0 {
            common_level(demand, home.slots, &rooms)
        } else {
            0.0
        };
        let link = self.link_share(view);
        for (e, room_there) in self.elsewhere.iter_mut().zip(&rooms) {
            let mut target = room_there.at(level) / demand.max(1.0);
            if e.remote {
                target = target.min(link);
            }
            let seconds = time.0 as f64 / 1000.0;
            let change = target - e.share;
            e.share += change.clamp(-FALL_PER_S * seconds, RISE_PER_S * seconds);
            // The link is shared with weights, so that its limit holds at once.
            if e.remote {
                e.share = e.share.min(link);
            }
        }
    }

    /// Brings the moving average of the traffic up to date.
    fn measure(&mut self, time: Millis) {
        if time == Millis::ZERO {
            return;
        }
        let Traffic { bytes, rates } = &mut self.traffic;
        for (rate, bytes) in rates.iter_mut().zip(bytes) {
            let newest = std::mem::take(bytes) / time.0 as f64;
            *rate += (newest - *rate) * weight(time, TRAFFIC_TIME);
        }
    }

    /// Returns the largest share that this entry may send to another region. All zones of other regions share the link.
    fn link_share(&self, view: &SpillView) -> f64 {
        let Some(link) = self.site.prices.link else {
            return 1.0;
        };
        let divisor = if view.load_pending {
            WEIGHTS_DIVISOR
        } else {
            1.0
        };
        let own = link.0 as f64 / 1000.0 / divisor / view.region_entries.max(1) as f64;
        let remote = self.elsewhere.iter().filter(|e| e.remote).count().max(1);
        // The link has its rate in each direction, so that the larger of both counts.
        let needed = self.traffic.rates[0].max(self.traffic.rates[1]);
        if needed <= 0.0 {
            return 1.0;
        }
        (own / needed / remote as f64).min(1.0)
    }

    /// Returns the zone elsewhere that a request with a uniform draw from 0 to 1 may consider.
    pub fn selected(&self, draw: f64) -> Option<&Zone> {
        let mut end = 0.0;
        let within = |e: &&Elsewhere| {
            end += e.share;
            draw < end
        };
        self.elsewhere.iter().find(within).map(|e| &e.zone)
    }

    /// Returns whether a request with this draw goes to a zone only if no other endpoint takes it.
    pub fn is_withheld(&self, zone: &Zone, draw: f64) -> bool {
        self.home && *zone != self.site.zone && self.selected(draw) != Some(zone)
    }

    /// Returns the extra cost of an endpoint in a zone for a request with this draw, as a share of its slots.
    ///
    /// The shares contain the price. A request that is selected pays the network only; with the price, the levels would be
    /// equal for it, and it would follow each change of a late view.
    pub fn cost(&self, zone: &Zone, draw: f64) -> f64 {
        if *zone == self.site.zone {
            return 0.0;
        }
        let known = self.elsewhere.iter().find(|e| e.zone == *zone);
        let cost = known.map_or(self.site.prices.zone_ms / MS_PER_SLOTS, |e| e.cost);
        if self.is_withheld(zone, draw) {
            return cost + WITHHELD_COST;
        }
        match known {
            Some(e) if self.home => e.network,
            _ => cost,
        }
    }

    /// Returns the part of the requests that may consider a zone elsewhere.
    pub fn share(&self, zone: &Zone) -> f64 {
        let known = self.elsewhere.iter().find(|e| e.zone == *zone);
        known.map_or(0.0, |e| e.share)
    }

    /// Returns the shares of the zones for the log if one changed since the last call that returned them.
    pub fn changed_shares(&mut self) -> Option<ShareList> {
        let changed = |e: &Elsewhere| {
            let ended = e.share == 0.0 && e.logged != 0.0;
            ended || (e.share - e.logged).abs() >= CHANGE
        };
        if !self.elsewhere.iter().any(changed) {
            return None;
        }
        let log = |e: &mut Elsewhere| {
            e.logged = e.share;
            (e.zone.clone(), e.share)
        };
        Some(ShareList(self.elsewhere.iter_mut().map(log).collect()))
    }
}

/// Shares of zones, written as `zone:share,zone:share`.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareList(Vec<(Zone, f64)>);

impl std::fmt::Display for ShareList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, (zone, share)) in self.0.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{zone}:{share:.2}")?;
        }
        Ok(())
    }
}
