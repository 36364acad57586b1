//! Load that an endpoint reports in its responses.

/// Load that an endpoint reports in a response header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the endpoint is running.
    pub running: u32,
    /// Requests that wait in the endpoint's queue.
    pub waiting: u32,
    /// Requests that the endpoint can run at once.
    pub slots: u32,
    /// Time that work takes on its host at present, in hundredths of the usual time; `None` if it does not say.
    pub pace: Option<u32>,
}

impl ReportedLoad {
    /// Returns whether an endpoint that accepts so many connections can have this load: each holds one request. 0 stands for
    /// an unknown number.
    pub fn fits(&self, connections: u32) -> bool {
        connections == 0 || self.running.saturating_add(self.waiting) <= connections
    }
}

impl std::str::FromStr for ReportedLoad {
    type Err = std::num::ParseIntError;

    /// Parses `running,waiting,slots[,pace]`; a missing number counts as 0, and a pace that is 0 or no number as none.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let mut parts = s.split(',').map(|p| p.trim().parse());
        let mut next = || parts.next().unwrap_or(Ok(0));
        Ok(Self {
            running: next()?,
            waiting: next()?,
            slots: next()?,
            pace: parts.next().and_then(Result::ok).filter(|p| *p > 0),
        })
    }
}

impl std::fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)?;
        self.pace.map_or(Ok(()), |pace| write!(f, ",{pace}"))
    }
}
