//! Datagrams between entries, and from agents to entries.

use serde::{Deserialize, Serialize};

use super::{
    cold_times::ColdNews,
    endpoint_loads::EndpointLoads,
    endpoint_table::{EndpointHash, EndpointUpdate},
    issuer::{PermitId, PermitReply, PermitRequest},
    limits::LimitReport,
    log_view::LogView,
    members::Heartbeat,
    peer_tokens::PeerTokens,
    record::WeightVersion,
    write_time::WriteAge,
};
use crate::{
    base::Millis,
    decide::{evacuation::EvacuationCopy, quarantine::PartReport, returning::Rejection},
};

/// A desired version of weights and the time since it became desired, as a process knows it; see [`WriteAge`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredAge {
    /// Model name.
    pub model: String,
    /// Version of the model's weights.
    pub version: WeightVersion,
    /// Time for which it has counted as desired.
    pub age: Millis,
    /// Time by which it may have become desired later than that.
    pub uncertainty: Millis,
}

impl DesiredAge {
    pub(crate) fn new(model: &str, version: WeightVersion, age: WriteAge) -> Self {
        Self {
            model: model.to_owned(),
            version,
            age: age.age,
            uncertainty: age.uncertainty,
        }
    }

    /// Returns the age of the version's record.
    pub(crate) fn write_age(&self) -> WriteAge {
        WriteAge {
            age: self.age,
            uncertainty: self.uncertainty,
        }
    }
}

/// Content of a datagram from one entry to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Heartbeat of the sender, then relayed heartbeats of other entries.
    pub heartbeats: Vec<Heartbeat>,
    /// Desired versions that may not be enforced yet.
    pub desired: Vec<DesiredAge>,
    /// The sender's requests in flight at each endpoint.
    pub in_flight: Vec<(EndpointHash, u16)>,
    /// Endpoints that announced lately that they are leaving: the hash of the id and that of the run. Builds that know no
    /// runs send and read the former only.
    pub leaving: Vec<EndpointHash>,
}

/// Times for which the senders of the heartbeats in a [`Gossip`] have read the store without a gap, in the order of the
/// heartbeats; zero for those that do not read it.
///
/// They follow the message in its datagram: entries of a build without them ignore what follows a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadTimes(pub Vec<Millis>);

impl ReadTimes {
    /// Longest time that is reported; longer ones tell no more, and take more space.
    pub const MAX: Millis = Millis(16_000);
}

/// What may follow the message in a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    /// Times for which the senders of the heartbeats have read the store.
    pub times: ReadTimes,
    /// What the sender of a [`Gossip`] knows of evacuated zones; entries of a build without it ignore what follows the
    /// times.
    pub evacuation: Option<EvacuationCopy>,
    /// What the sender of a [`Gossip`] knows of the end of the operator's log; follows the evacuated zones.
    pub log: Option<LogView>,
    /// Loads of endpoints that the sender of a [`Gossip`] knows; they follow the end of the log.
    pub loads: Option<EndpointLoads>,
    /// Tokens of the sender's requests in flight; they follow the loads.
    pub tokens: Option<PeerTokens>,
}

impl Appended {
    /// Decodes what follows a message. What cannot be decoded is left out.
    fn decode(data: &[u8]) -> Self {
        let Ok((times, rest)) = postcard::take_from_bytes(data) else {
            return Self::default();
        };
        let Ok((evacuation, rest)) = postcard::take_from_bytes(rest) else {
            return Self {
                times,
                ..Self::default()
            };
        };
        let (log, rest): (Option<LogView>, _) = postcard::take_from_bytes(rest).unwrap_or_default();
        let (loads, rest): (Option<EndpointLoads>, _) =
            postcard::take_from_bytes(rest).unwrap_or_default();
        Self {
            times,
            evacuation: Some(evacuation),
            log,
            loads,
            tokens: postcard::from_bytes(rest).unwrap_or_default(),
        }
    }
}

/// Request of an entry for permission to send a probe of a quarantined part; the reply is a [`PermitReply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Number of the request.
    pub id: PermitId,
    /// What the entry knows of the part.
    pub report: PartReport,
}

/// A datagram to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by another entry.
    Gossip(Gossip),
    /// Sent by an agent, to the entries that read the store.
    Endpoint(EndpointUpdate),
    /// Sent by another entry: limits that endpoints named or withdrew.
    Limits(Vec<LimitReport>),
    /// Sent by another entry to the issuer of an endpoint's permits.
    PermitRequest(PermitRequest),
    /// Sent by the issuer of permits, or by the entry that grants probes.
    PermitReply(PermitReply),
    /// Sent by another entry: parts of prompts that were in flight when endpoints ended.
    Parts(Vec<PartReport>),
    /// Sent by another entry to the one that grants the probes of a part.
    ProbeRequest(ProbeRequest),
    /// Sent by another entry: requests that it rejected and whose callers may return.
    Rejections(Vec<Rejection>),
}

impl Message {
    /// Decodes a datagram: a message, and what may follow it. What another build may send in its place does not make
    /// this one reject the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram holds no message.
    pub fn decode(data: &[u8]) -> postcard::Result<(Self, Appended)> {
        let (message, rest) = postcard::take_from_bytes(data)?;
        Ok((message, Appended::decode(rest)))
    }

    /// Returns the message with the ages that hold after it has lain in the socket for a time.
    pub(super) fn aged(mut self, waited: Millis) -> Self {
        let ages: Vec<&mut Millis> = match &mut self {
            Self::Gossip(gossip) => gossip.desired.iter_mut().map(|d| &mut d.age).collect(),
            Self::Limits(reports) => reports.iter_mut().map(|r| &mut r.age).collect(),
            Self::PermitRequest(request) => vec![&mut request.limit.age],
            _ => Vec::new(),
        };
        for age in ages {
            *age += waited;
        }
        self
    }
}

impl ColdNews {
    /// Decodes what follows a message in a datagram; nothing if the sender's build sends none.
    pub fn decode(message: &Message, data: &[u8]) -> Self {
        if !matches!(message, Message::Limits(_) | Message::PermitRequest(_)) {
            return Self::default();
        }
        let rest = postcard::take_from_bytes::<Message>(data).map(|(_, rest)| rest);
        let news = rest.and_then(postcard::from_bytes);
        news.unwrap_or_default()
    }
}
