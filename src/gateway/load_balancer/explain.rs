//! Explains a choice: runs it on a copy of what it would change, and tells which endpoints any random draw may choose.

use super::{
    super::{
        endpoint_query::EndpointQuery, endpoint_table::Endpoint, load_view::LoadView,
        record::WeightVersion,
    },
    candidates::{Group, Rating, Verdict},
    exclusion::Exclusion,
    loads::limit_of_share,
    LoadBalancer, Refusal, CHOICES, FULL_COST,
};
use crate::base::{HashMap, Millis};

/// A choice and its reasons.
#[derive(Debug)]
pub struct ExplainedChoice<'e> {
    /// Endpoint that one random draw chose, or the refusal, with a jittered time.
    pub choice: Result<&'e Endpoint, Refusal>,
    /// Whether a request may be refused, depending on the draw.
    pub may_refuse: bool,
    /// All endpoints of the service.
    pub endpoints: Vec<ExplainedEndpoint<'e>>,
}

/// An endpoint as a choice sees it.
#[derive(Debug)]
pub struct ExplainedEndpoint<'e> {
    /// Endpoint.
    pub endpoint: &'e Endpoint,
    /// How it competes for the request, or why it does not.
    pub verdict: Result<Rating, Exclusion>,
    /// Whether a request may be sent there, depending on the draw.
    pub possible: bool,
    /// What this entry knows of it.
    pub view: EndpointView,
}

/// What an entry knows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// Requests there, as this entry knows them.
    pub load: u32,
    /// Requests of this entry there.
    pub own: u32,
    /// Load from which it gets no further requests.
    pub limit: u32,
    /// Time that work takes there, as a multiple of its usual time.
    pub pace: f64,
    /// Version of the required model; `None` if it has none loaded, or none is required.
    pub version: Option<WeightVersion>,
    /// Time for which it asked to get no requests; zero if it did not.
    pub paused: Millis,
    /// Time for which it is skipped after it rejected a request; zero if it is not.
    pub backoff: Millis,
    /// Time until another permit may be granted; zero if none was denied.
    pub closed: Millis,
}

/// Endpoints of one group that may get a request.
#[derive(Debug)]
struct GroupCosts {
    /// Costs of all, in ascending order.
    all: Vec<f64>,
    /// Least cost of those that compete whatever is drawn for zones that were put back into service.
    cheapest: f64,
    /// Number of full ones.
    full: usize,
}

impl GroupCosts {
    fn new<'a>(ratings: impl Iterator<Item = &'a Rating>, group: Group) -> Self {
        let mut out = Self {
            all: Vec::new(),
            cheapest: f64::INFINITY,
            full: 0,
        };
        for r in ratings.filter(|r| r.group == group) {
            out.all.push(r.total());
            out.full += usize::from(r.is_full());
            if r.share >= 1.0 {
                out.cheapest = out.cheapest.min(r.total());
            }
        }
        out.all.sort_unstable_by(f64::total_cmp);
        out
    }

    /// Returns whether there is room at any of them, depending on the draws.
    fn may_have_room(&self) -> bool {
        self.full < self.all.len()
    }

    /// Returns whether a draw of `count` of them may contain none that is cheaper than a cost.
    fn may_lead(&self, cost: f64, count: usize) -> bool {
        let cheaper = self.all.partition_point(|c| *c < cost);
        self.all.len() - cheaper >= count || self.cheapest >= cost
    }

    /// Returns whether a draw of them may contain full ones only.
    fn may_be_full(&self) -> bool {
        self.full >= CHOICES || self.cheapest >= FULL_COST
    }
}

/// What may become of a request, depending on the random draws: that of endpoints that the entry does not own, and for each
/// endpoint of a zone that was put back into service lately, whether the request considers it.
///
/// Must match `Candidates::best`. Where zones were put back lately it may call an endpoint possible that no draw chooses;
/// otherwise it is exact.
#[derive(Debug)]
struct Odds {
    owned: GroupCosts,
    /// Position of the first one of the cheapest owned endpoints.
    first: usize,
    drawn: GroupCosts,
    withheld: GroupCosts,
    /// Least cost of endpoints of zones that were put back lately, without those for which the request is not selected.
    ramping: f64,
}

impl Odds {
    fn new(verdicts: &[(&Endpoint, Verdict)]) -> Self {
        let ratings = || verdicts.iter().filter_map(|v| v.1.as_ref().ok());
        let ramping = ratings().filter(|r| r.share < 1.0 && r.group != Group::Withheld);
        let owned = GroupCosts::new(ratings(), Group::Owned);
        let is_first = |v: &(&Endpoint, Verdict)| {
            v.1.is_ok_and(|r| {
                r.group == Group::Owned && r.share >= 1.0 && r.total() <= owned.cheapest
            })
        };
        Self {
            first: verdicts.iter().position(is_first).unwrap_or(usize::MAX),
            owned,
            drawn: GroupCosts::new(ratings(), Group::Drawn),
            withheld: GroupCosts::new(ratings(), Group::Withheld),
            ramping: ramping.map(|r| r.cost).fold(f64::INFINITY, f64::min),
        }
    }

    /// Returns whether an endpoint that competes has room whatever is drawn.
    fn is_open(&self) -> bool {
        self.owned.cheapest.min(self.drawn.cheapest) < FULL_COST
    }

    /// Returns whether a request may be sent to the endpoint at a position.
    fn is_possible(&self, position: usize, rating: &Rating) -> bool {
        let cost = rating.total();
        let competes = match rating.group {
            Group::Owned => {
                // Of equal costs, the first owned one counts.
                let first = position <= self.first || cost < self.owned.cheapest;
                let least = first && cost <= self.owned.cheapest;
                least && self.may_have_room() && self.drawn.may_lead(cost, CHOICES)
            }
            Group::Drawn => {
                let least = cost < self.owned.cheapest;
                least && self.may_have_room() && self.drawn.may_lead(cost, CHOICES)
            }
            Group::Withheld => {
                !self.is_open() && !rating.is_full() && self.withheld.may_lead(cost, CHOICES)
            }
        };
        competes || self.may_win_ramping(rating)
    }

    /// Returns whether an endpoint that competes has room, depending on the draws.
    fn may_have_room(&self) -> bool {
        self.owned.may_have_room() || self.drawn.may_have_room()
    }

    /// Returns whether an endpoint of a zone that was put back lately may get a request that is not to consider it. A cheaper
    /// one would get the request, whether it competes or not.
    fn may_win_ramping(&self, rating: &Rating) -> bool {
        rating.share < 1.0
            && !self.is_open()
            && self.withheld.may_be_full()
            && rating.cost <= self.ramping
    }

    /// Returns whether no endpoint may get the request.
    fn may_refuse(&self) -> bool {
        !self.may_have_room() && (self.withheld.full >= CHOICES || !self.withheld.may_have_room())
    }
}

impl LoadBalancer {
    /// Explains to which of the endpoints of its service a request would be sent now. Nothing is changed: the choice is
    /// made with a copy of what is known of these endpoints.
    pub fn explain<'e>(
        &self,
        endpoints: impl Iterator<Item = &'e Endpoint>,
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> ExplainedChoice<'e> {
        let endpoints: Vec<_> = endpoints.collect();
        let mut copy = self.copy_of(&endpoints);
        let mut trace: Vec<(&Endpoint, Verdict)> = Vec::new();
        let choice = copy.choose(&endpoints, query, now, &mut trace);
        let odds = Odds::new(&trace);
        let known = |(i, (e, verdict)): (usize, &(&'e Endpoint, Verdict))| ExplainedEndpoint {
            endpoint: e,
            verdict: *verdict,
            possible: verdict.is_ok_and(|r| odds.is_possible(i, &r)),
            view: copy.view_of(e, query, now),
        };
        let endpoints = trace.iter().enumerate().map(known);
        ExplainedChoice {
            choice,
            may_refuse: odds.may_refuse(),
            endpoints: endpoints.collect(),
        }
    }

    /// Returns a copy that knows some endpoints only.
    fn copy_of(&self, endpoints: &[&Endpoint]) -> Self {
        let known = endpoints.iter().filter_map(|e| {
            let view = self.views.get(&e.id)?;
            Some((e.id.clone(), view.clone()))
        });
        Self {
            views: known.collect::<HashMap<_, _>>(),
            peers_complete: self.peers_complete,
            mean_step: self.mean_step,
            since: self.since,
        }
    }

    /// Returns what is known of an endpoint.
    fn view_of(&self, e: &Endpoint, query: &EndpointQuery<'_>, now: Millis) -> EndpointView {
        let none = LoadView::default();
        let view = self.views.get(&e.id).unwrap_or(&none);
        let summary = view.summary(now, self.peers_complete);
        let (paused, backoff, closed) = view.skipped_for(now);
        EndpointView {
            load: view.load_at_choice(now, self.peers_complete),
            own: summary.own,
            limit: limit_of_share(self.limit(e, query), query.zone_share(e, now)),
            pace: summary.pace,
            version: query.weights.and_then(|w| self.version(e, w.model)),
            paused,
            backoff,
            closed,
        }
    }
}
