//! Endpoints that may get a request, and the choice among them.

use super::{super::endpoint_table::Endpoint, exclusion::Exclusion, CHOICES, FULL_COST};
use crate::base::Millis;

/// How an endpoint competes for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// The entry owns it; it competes always.
    Owned,
    /// It competes if it is drawn.
    Drawn,
    /// The request is not selected for its zone; it competes if no other one takes the request, and if it is drawn.
    Withheld,
}

/// An endpoint that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// How it competes.
    pub group: Group,
    /// Cost of the request there, as a share of its slots.
    pub cost: f64,
    /// Further cost because the entry does not own it.
    pub surcharge: f64,
    /// Share of the requests that consider it, 0 to 1: less than 1 after its zone was put back into service. The others
    /// take it only if no other one takes them.
    pub share: f64,
}

impl Rating {
    /// Returns the cost by which it competes in its group.
    pub fn total(&self) -> f64 {
        self.cost + self.surcharge
    }

    /// Returns that cost without what only keeps the endpoint behind those that are not full.
    pub fn cost_below_full(&self) -> f64 {
        if self.is_full() {
            return self.total() - FULL_COST;
        }
        self.total()
    }

    /// Returns whether it is full as far as is known; it gets the request only together with others that are drawn.
    pub fn is_full(&self) -> bool {
        self.cost >= FULL_COST
    }
}

/// Observes how the endpoints of a choice are judged; requests use `()`, which costs nothing.
pub(super) trait Trace<'e> {
    /// Notes why an endpoint does not get the request.
    fn exclude(&mut self, e: &'e Endpoint, exclusion: Exclusion);

    /// Notes how an endpoint competes.
    fn rate(&mut self, e: &'e Endpoint, rating: &Rating);
}

impl<'e> Trace<'e> for () {
    #[inline]
    fn exclude(&mut self, _: &'e Endpoint, _: Exclusion) {}

    #[inline]
    fn rate(&mut self, _: &'e Endpoint, _: &Rating) {}
}

/// How an endpoint competes for a request, or why it does not.
pub(super) type Verdict = Result<Rating, Exclusion>;

impl<'e> Trace<'e> for Vec<(&'e Endpoint, Verdict)> {
    fn exclude(&mut self, e: &'e Endpoint, exclusion: Exclusion) {
        self.push((e, Err(exclusion)));
    }

    fn rate(&mut self, e: &'e Endpoint, rating: &Rating) {
        self.push((e, Ok(*rating)));
    }
}

/// Endpoints that may get a request, each with its cost.
#[derive(Debug, Default)]
pub(super) struct Candidates<'e> {
    /// Endpoints that this entry owns.
    owned: Vec<(&'e Endpoint, f64)>,
    others: Vec<(&'e Endpoint, f64)>,
    /// Endpoints of zones for which the request is not selected; used if there are no others.
    withheld: Vec<(&'e Endpoint, f64)>,
    /// Endpoints of zones that were put back into service lately; used if there are no others.
    ramping: Vec<(&'e Endpoint, f64)>,
    /// Whether any endpoint can run the request, now or later.
    pub(super) any_capable: bool,
    /// Capable endpoint that is expected to take requests first, and when it does.
    pub(super) available: Option<(&'e Endpoint, Millis)>,
}

/// Draws up to [`CHOICES`] of the endpoints at random.
fn draw<'a, 'e>(
    list: &'a mut [(&'e Endpoint, f64)],
) -> impl Iterator<Item = (&'e Endpoint, f64)> + use<'a, 'e> {
    (0..CHOICES.min(list.len())).map(move |i| {
        let j = fastrand::usize(i..list.len());
        list.swap(i, j);
        list[i]
    })
}

impl<'e> Candidates<'e> {
    /// Notes when a capable endpoint is expected to take requests again.
    pub(super) fn note_available(&mut self, e: &'e Endpoint, at: Millis) {
        if self.available.is_none_or(|(_, first)| at < first) {
            self.available = Some((e, at));
        }
    }

    /// Adds an endpoint. A draw decides whether the request considers one of a zone that was put back into service lately.
    #[inline]
    pub(super) fn add(&mut self, e: &'e Endpoint, rating: &Rating) {
        if rating.share < 1.0 && fastrand::f64() >= rating.share {
            self.ramping.push((e, rating.cost));
            return;
        }
        let list = match rating.group {
            Group::Owned => &mut self.owned,
            Group::Drawn => &mut self.others,
            Group::Withheld => &mut self.withheld,
        };
        list.push((e, rating.total()));
    }

    /// Returns the cheapest of the owned endpoints and of up to [`CHOICES`] random others; `None` if none has room.
    pub(super) fn best(mut self) -> Option<&'e Endpoint> {
        let cheaper = |a: &(&Endpoint, f64), b: &(&Endpoint, f64)| a.1.total_cmp(&b.1);
        let mut all = self.owned.iter().chain(&self.others);
        if all.all(|c| c.1 >= FULL_COST) {
            let withheld = draw(&mut self.withheld).filter(|c| c.1 < FULL_COST);
            let best = withheld.min_by(cheaper);
            let best = best.or_else(|| self.ramping.into_iter().min_by(cheaper));
            return best.map(|c| c.0);
        }
        let others = draw(&mut self.others);
        let all = self.owned.into_iter().chain(others);
        all.min_by(cheaper).map(|c| c.0)
    }
}
