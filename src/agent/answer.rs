//! Binds the parts of an answer to one request and one version.

use bytes::Bytes;

use super::event::{ANSWER_CROSSED, VERSION_MIXED};
use crate::{
    base::{Digest, RequestId, VersionName},
    emit,
    endpoint::{Head, Part},
    wire::{Reply, RunRequest},
};

/// Why an answer cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Break {
    /// The endpoint answers with another version; the whole answer is of no use.
    Version,
    /// Parts are missing; the rest can be asked for again.
    Gap,
}

/// An answer in the making.
#[derive(Debug)]
pub(super) struct Answer {
    id: RequestId,
    /// Version that must answer; `None` for plain services.
    version: Option<VersionName>,
    /// Whether the head was delivered.
    begun: bool,
    /// Whether the endpoint answers with a body that is not made of tokens, such as an error.
    raw: bool,
    /// Output tokens that the caller has.
    index: u32,
    /// Whether parts up to `index` are repeated by the endpoint and dropped here.
    skip: bool,
    length: u64,
    hasher: blake3::Hasher,
}

impl Answer {
    /// Creates the answer to a request.
    pub(super) fn new(req: &RunRequest) -> Self {
        Self {
            id: req.id,
            version: req.version.clone(),
            begun: false,
            raw: req.version.is_none(),
            index: req.resume,
            skip: false,
            length: 0,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Returns the number of output tokens that the caller has.
    pub(super) fn index(&self) -> u32 {
        self.index
    }

    /// Returns whether a broken answer can be continued; bodies without tokens cannot.
    pub(super) fn is_resumable(&self) -> bool {
        self.version.is_some() && !(self.raw && self.begun)
    }

    /// Expects the endpoint to repeat the answer from its first token.
    pub(super) fn repeat(&mut self, skip: bool) {
        self.skip = skip;
    }

    fn is_foreign(&self, id: Option<RequestId>) -> bool {
        let foreign = id.is_some_and(|id| id != self.id);
        if foreign {
            emit!(ANSWER_CROSSED, "request {}", self.id);
        }
        foreign
    }

    fn check_version(&self, found: Option<&VersionName>) -> Result<(), Break> {
        if self.raw || self.version.as_ref() == found {
            return Ok(());
        }
        let found = found.map_or("none", VersionName::as_str);
        emit!(VERSION_MIXED, "request {}, version {found}", self.id);
        Err(Break::Version)
    }

    /// Takes the head of an exchange; returns a reply if it is the first one.
    pub(super) fn head(&mut self, head: &Head) -> Result<Option<Reply>, Break> {
        if self.is_foreign(head.id) {
            return Err(Break::Gap);
        }
        let success = (200..300).contains(&head.status);
        if !self.begun {
            self.raw = self.version.is_none() || !success;
        } else if !success {
            return Err(Break::Gap);
        }
        self.check_version(head.version.as_ref())?;
        if std::mem::replace(&mut self.begun, true) {
            return Ok(None);
        }
        let version = if self.raw { None } else { self.version.clone() };
        Ok(Some(Reply::Head {
            id: self.id,
            status: head.status,
            media: head.media.clone(),
            version,
        }))
    }

    /// Takes a part; returns the reply to deliver, if any, and whether it is the last one.
    pub(super) fn part(&mut self, part: Part) -> Result<Option<Reply>, Break> {
        match part {
            Part::Data { id, .. } | Part::End { id, .. } if self.is_foreign(id) => Ok(None),
            Part::Data {
                index,
                version,
                data,
                ..
            } => self.data(index, version.as_ref(), data),
            Part::End {
                tokens, version, ..
            } => self.end(tokens, version.as_ref()).map(Some),
        }
    }

    fn data(
        &mut self,
        index: u32,
        version: Option<&VersionName>,
        data: Bytes,
    ) -> Result<Option<Reply>, Break> {
        self.check_version(version)?;
        if !self.raw {
            if self.skip && index <= self.index {
                return Ok(None);
            }
            if self.index.checked_add(1) != Some(index) {
                return Err(Break::Gap);
            }
            self.index = index;
        }
        self.length += data.len() as u64;
        self.hasher.update(&data);
        Ok(Some(Reply::Data {
            id: self.id,
            index,
            data,
        }))
    }

    fn end(&mut self, tokens: Option<u32>, version: Option<&VersionName>) -> Result<Reply, Break> {
        self.check_version(version)?;
        if !self.raw && tokens != Some(self.index) {
            return Err(Break::Gap);
        }
        let version = if self.raw { None } else { self.version.clone() };
        Ok(Reply::End {
            id: self.id,
            length: self.length,
            digest: Digest(*self.hasher.finalize().as_bytes()),
            version,
        })
    }
}
