//! Keeps the requests in flight at an endpoint within its memory.
//!
//! Load answered: requests with long prompts or long outputs, of which fewer fit into an endpoint's memory than it has slots.
//! Each process counts its own requests exactly and those of others as they told lately. Several that hear of each other late
//! would take the same free memory. A process therefore keeps to a share of each endpoint, whatever it hears: the endpoint's
//! homes share all of it but a margin, all processes a half. Without these shares an endpoint got up to 4.3 times its memory in a
//! trial of the model (`tests/endpoint_memory.rs`) with 48 processes and short requests.

use std::{fmt, num::ParseIntError, str::FromStr};

/// Divisor of an endpoint's memory that gives the part which all processes share, also those that are not its homes.
const OPEN_DIVISOR: u64 = 2;

/// Divisor of an endpoint's memory that gives the part which homes leave to requests that they have not heard of yet.
const MARGIN_DIVISOR: u64 = 8;

/// Number of tokens: of a prompt, an output, or what fits into the memory of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

impl Tokens {
    /// Returns what a request may need: its prompt and its largest output.
    pub fn of_request(prompt: u32, output: u32) -> Self {
        Self(u64::from(prompt) + u64::from(output))
    }
}

/// Requests in flight at an endpoint whose tokens are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Number of these requests.
    pub requests: u32,
    /// Their tokens.
    pub tokens: Tokens,
}

impl Held {
    /// Adds a request.
    pub fn begin(&mut self, tokens: Tokens) {
        self.requests = self.requests.saturating_add(1);
        self.tokens.0 = self.tokens.0.saturating_add(tokens.0);
    }

    /// Removes a request.
    pub fn end(&mut self, tokens: Tokens) {
        self.requests = self.requests.saturating_sub(1);
        self.tokens.0 = self.tokens.0.saturating_sub(tokens.0);
    }

    /// Returns both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            tokens: Tokens(self.tokens.0.saturating_add(other.tokens.0)),
        }
    }

    /// Returns the tokens of `load` requests, of which the known ones are a part. Each other one counts as the mean of the
    /// known ones, or as `usual` if none is known.
    fn of_load(self, load: u32, usual: Tokens) -> u64 {
        let unknown = u64::from(load.saturating_sub(self.requests));
        let mean = match self.requests {
            0 => usual.0,
            n => self.tokens.0.div_ceil(u64::from(n)),
        };
        self.tokens.0.saturating_add(mean.saturating_mul(unknown))
    }
}

/// Right of a request to the memory of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Right {
    /// The process is not one of the endpoint's homes.
    Open {
        /// Number of all processes.
        entries: u32,
    },
    /// The process is one of so many homes.
    Home {
        /// Number of the endpoint's homes.
        homes: u32,
        /// Whether there is no other process.
        alone: bool,
    },
    /// The request was sent before, so that something of it may have begun. Few requests are sent again.
    Begun,
    /// The memory is larger than what requests in all slots need; see [`MemoryDemand::is_ample`].
    Ample,
}

/// What a request needs of the memory of an endpoint that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryDemand {
    /// Memory of each endpoint of the service; not zero.
    capacity: Tokens,
    /// Prompt and largest output of the request.
    tokens: Tokens,
}

impl MemoryDemand {
    /// Returns the demand of a request; `None` without a capacity, or with one of zero, which is no limit.
    pub fn new(capacity: Option<Tokens>, tokens: Tokens) -> Option<Self> {
        let capacity = capacity.filter(|c| *c > Tokens::default())?;
        Some(Self { capacity, tokens })
    }

    /// Returns whether the request does not even fit into an endpoint without other requests.
    pub fn is_too_large(self) -> bool {
        self.tokens > self.capacity
    }

    /// Returns whether the request fits beside `load` requests, of which `held` are known and `own` are of this process.
    pub fn fits(self, held: Held, own: Held, load: u32, right: Right) -> bool {
        let used = held.of_load(load, self.tokens);
        let total = used.saturating_add(self.tokens.0);
        if total > self.capacity.0 {
            return false;
        }
        let (limit, sharers) = match right {
            // One that is larger than a share fits nowhere else.
            _ if used == 0 => return true,
            Right::Begun | Right::Ample => return true,
            Right::Home { homes, alone: true } => (self.capacity.0, homes),
            Right::Home { homes, .. } => {
                (self.capacity.0 - self.capacity.0 / MARGIN_DIVISOR, homes)
            }
            Right::Open { entries } => (self.capacity.0 / OPEN_DIVISOR, entries),
        };
        let share = limit / u64::from(sharers.max(1));
        total <= limit && own.tokens.0.saturating_add(self.tokens.0) <= share
    }

    /// Returns whether twice as many requests as an endpoint has slots fit into its memory, if all are as large as this one or
    /// as the mean of the `held` ones. Shares of the memory would then only keep requests from endpoints with room.
    pub fn is_ample(self, held: Held, slots: u32) -> bool {
        let mean = held.tokens.0.div_ceil(u64::from(held.requests.max(1)));
        let usual = self.tokens.0.max(mean);
        usual.saturating_mul(u64::from(slots)) <= self.capacity.0 / OPEN_DIVISOR
    }

    /// Returns whether `load` requests exceed the memory, of which `held` are known and this request is one. It counts as in
    /// [`Self::fits`]: the mean is that of the others.
    pub fn is_exceeded(self, mut held: Held, load: u32) -> bool {
        held.end(self.tokens);
        let used = held.of_load(load.saturating_sub(1), self.tokens);
        used.saturating_add(self.tokens.0) > self.capacity.0
    }
}
