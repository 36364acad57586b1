//! Checks of streamed answers.

use std::time::Instant;

use serde_json::Value;

use super::{
    client::outcome,
    record::{Answer, Verdict},
};
use crate::token_text;

/// A streamed answer as far as it arrived.
pub(super) struct Stream<'a> {
    id: &'a str,
    version: &'a str,
    tokens: u32,
    direct: bool,
    start: Instant,
    buffer: Vec<u8>,
    text: String,
    times: Vec<Instant>,
    /// Verdict, once the answer is over or wrong.
    end: Option<Answer>,
}

impl<'a> Stream<'a> {
    pub(super) fn new(
        id: &'a str,
        version: &'a str,
        tokens: u32,
        direct: bool,
        start: Instant,
    ) -> Self {
        Self {
            id,
            version,
            tokens,
            direct,
            start,
            buffer: Vec::new(),
            text: String::new(),
            times: Vec::new(),
            end: None,
        }
    }

    /// Takes bytes of the body.
    pub(super) fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
        while let Some(at) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..at + 2).collect();
            self.event(&String::from_utf8_lossy(&event));
        }
    }

    fn fail(&mut self, verdict: Verdict, text: impl Into<String>) {
        let first = self.end.as_ref().is_none_or(|e| e.verdict == Verdict::Good);
        if first {
            self.end = Some(Answer::new(verdict, text));
        }
    }

    fn event(&mut self, event: &str) {
        let mut error = false;
        for line in event.lines() {
            if let Some(name) = line.strip_prefix("event:") {
                error = name.trim() == "error";
            }
            let Some(data) = line.strip_prefix("data:").map(str::trim) else {
                continue;
            };
            if data == "[DONE]" {
                continue;
            }
            match serde_json::from_str::<Value>(data) {
                Ok(value) if error => self.fail(outcome(&value), value["error"].to_string()),
                Ok(value) => self.data(&value),
                Err(e) => self.fail(Verdict::Wrong, format!("{e}: {data}")),
            }
        }
    }

    fn data(&mut self, value: &Value) {
        if self.end.is_some() {
            self.fail(Verdict::Wrong, format!("after the end: {value}"));
            return;
        }
        let named = self.direct || value["id"] == self.id;
        if !named || value["version"] != self.version {
            self.fail(Verdict::Wrong, format!("of another request: {value}"));
            return;
        }
        if value["done"] != true {
            self.times.push(Instant::now());
            self.text += value["text"].as_str().unwrap_or_default();
            return;
        }
        let wanted: String = (0..self.tokens)
            .map(|i| token_text(self.version, self.id, i))
            .collect();
        let hash = blake3::hash(self.text.as_bytes()).to_hex();
        let hash = value.get("hash").is_none_or(|h| h == hash.as_str());
        if self.text == wanted && value["tokens"] == self.tokens && hash {
            self.end = Some(Answer::new(Verdict::Good, ""));
            return;
        }
        let cut = wanted.starts_with(&self.text);
        let verdict = if cut { Verdict::Cut } else { Verdict::Wrong };
        let text = format!("got {:?} and {value}, expected {wanted:?}", self.text);
        self.fail(verdict, text);
    }

    /// Returns the result; `broken` is the result if the answer did not end by itself.
    pub(super) fn finish(self, broken: Answer) -> Answer {
        let mut out = self.end.unwrap_or(broken);
        out.first = self.times.first().map(|t| *t - self.start);
        out.gaps = self.times.windows(2).map(|w| w[1] - w[0]).collect();
        out
    }
}
