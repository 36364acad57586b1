//! Reads the keys of one mapping into typed values.

use std::{fmt, str::FromStr};

use super::{
    yaml::{Node, Pair},
    Problem, PROBLEMS_MAX,
};

/// The keys of one mapping; each key that was not asked for is a problem.
pub(crate) struct Fields<'a> {
    /// Key of the mapping with a final dot, empty for the root.
    prefix: String,
    line: usize,
    pairs: &'a [Pair],
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Starts to read a mapping; a value of another kind is a problem.
    pub(crate) fn new(prefix: &str, node: &'a Node, problems: &mut Vec<Problem>) -> Self {
        let pairs = node.pairs().unwrap_or_else(|| {
            let key = prefix.trim_end_matches(['.', ' ']);
            problems.push(Problem::new(
                node.line,
                key,
                "not a mapping; write `key: value` lines below it",
            ));
            &[]
        });
        Self {
            prefix: prefix.to_owned(),
            line: node.line,
            pairs,
            known: Vec::new(),
        }
    }

    fn key(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    /// Returns the value of a key.
    pub(crate) fn node(&mut self, name: &'static str) -> Option<&'a Node> {
        self.known.push(name);
        self.pairs
            .iter()
            .find(|(k, _)| k.text == name)
            .map(|(_, v)| v)
    }

    /// Reports that a key is missing, with an example of its value.
    pub(crate) fn missing(&self, name: &str, example: &str, problems: &mut Vec<Problem>) {
        problems.push(Problem::new(
            self.line,
            self.key(name),
            format!("the key is missing; add `{name}: {example}`"),
        ));
    }

    /// Reads a key that may be absent.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
        problems: &mut Vec<Problem>,
    ) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        self.parsed(name, "", problems)
    }

    /// Reads a key that must be present.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        name: &'static str,
        example: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        if self.node(name).is_none() {
            self.missing(name, example, problems);
            return None;
        }
        self.parsed(name, example, problems)
    }

    fn parsed<T: FromStr>(
        &mut self,
        name: &'static str,
        example: &str,
        problems: &mut Vec<Problem>,
    ) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let node = self.node(name)?;
        let key = self.key(name);
        let Some(text) = node.text() else {
            problems.push(Problem::new(
                node.line,
                key,
                "a mapping stands where one value is expected; write the value on one line",
            ));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                let mut message = T::Err::to_string(&e);
                if !message.contains("; ") {
                    message = format!(
                        "`{text}` is not valid ({message}); use a value such as `{example}`"
                    );
                }
                problems.push(Problem::new(node.line, key, message));
                None
            }
        }
    }

    /// Reports a key that does not belong here.
    pub(crate) fn foreign(&mut self, name: &'static str, why: &str, problems: &mut Vec<Problem>) {
        if self.node(name).is_some() {
            let line = self.line_of(name);
            problems.push(Problem::new(line, self.key(name), why));
        }
    }

    /// Returns the line of a key.
    pub(crate) fn line_of(&self, name: &str) -> usize {
        self.pairs
            .iter()
            .find(|(k, _)| k.text == name)
            .map_or(self.line, |(k, _)| k.line)
    }

    /// Reports all keys that were not asked for.
    pub(crate) fn finish(self, problems: &mut Vec<Problem>) {
        for (key, _) in self.pairs {
            if self.known.contains(&key.text.as_str()) {
                continue;
            }
            if problems.len() >= PROBLEMS_MAX {
                return;
            }
            let hint = nearest(&key.text, self.known.iter().copied());
            problems.push(unknown(key.line, self.key(&key.text), hint));
        }
    }
}

/// Describes a key that nothing reads.
pub(crate) fn unknown(line: usize, key: String, hint: Option<&str>) -> Problem {
    let remedy = hint.map_or_else(
        || "remove it, or see docs/settings.md for the known keys".to_owned(),
        |h| format!("did you mean `{h}`?"),
    );
    Problem::new(line, key, format!("unknown key; {remedy}"))
}

/// Returns the known name that is closest to a mistyped one.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // Longer names than any option's are not worth comparing; the bound keeps the work for each key small.
    if name.len() > 64 {
        return None;
    }
    known
        .map(|k| (distance(name, k), k))
        .filter(|(d, k)| *d <= 1 + k.len() / 4)
        .min()
        .map(|(_, k)| k)
}

/// Returns the Levenshtein distance of two byte strings.
fn distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let change = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = change.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
