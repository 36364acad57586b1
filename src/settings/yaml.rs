//! A YAML subset with line numbers: mappings, lists and plain text.
//!
//! The parser's events are read one by one, so that size and depth are bounded before anything is built. Anchors and
//! aliases are refused because an alias can multiply the size of a document. Scalars stay text: `1.0` as the name of a
//! version must not become the number 1.

use std::{io::Read, path::Path};

use saphyr_parser::{Event, Parser, Span};

use super::{Problem, PROBLEMS_MAX};

/// Largest settings file, in bytes.
pub const FILE_MAX: usize = 4 << 20;

/// Deepest nesting of mappings and lists; the settings tree needs nine levels.
const DEPTH_MAX: usize = 16;

/// A key of a mapping and its value.
pub(crate) type Pair = (Text, Node);

/// Text with its place.
#[derive(Clone, Debug)]
pub(crate) struct Text {
    pub(crate) line: usize,
    pub(crate) text: String,
}

/// A value with its place.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) line: usize,
    pub(crate) kind: Kind,
}

/// The content of a value.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// Text, as written.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping in the order of the file; keys are unique.
    Map(Vec<Pair>),
}

impl Node {
    /// Returns the pairs of a mapping; an empty value counts as an empty mapping.
    pub(crate) fn pairs(&self) -> Option<&[Pair]> {
        match &self.kind {
            Kind::Map(pairs) => Some(pairs),
            Kind::Text(t) if t.is_empty() || t == "~" || t == "null" => Some(&[]),
            Kind::Text(_) | Kind::List(_) => None,
        }
    }

    /// Returns an option's text; the members of a list are joined with commas.
    pub(crate) fn text(&self) -> Option<String> {
        match &self.kind {
            Kind::Text(t) => Some(t.clone()),
            Kind::List(items) => {
                let texts: Option<Vec<_>> = items
                    .iter()
                    .map(|n| match &n.kind {
                        Kind::Text(t) if !t.contains(',') => Some(t.clone()),
                        _ => None,
                    })
                    .collect();
                Some(texts?.join(","))
            }
            Kind::Map(_) => None,
        }
    }
}

/// An unfinished mapping or list.
enum Open {
    List(Node),
    Map(Node, Option<Text>),
}

struct Builder {
    open: Vec<Open>,
    root: Option<Node>,
    problems: Vec<Problem>,
}

impl Builder {
    /// Adds a finished value to the innermost open collection.
    fn add(&mut self, node: Node) -> Result<(), Problem> {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(Open::List(list)) => {
                if let Kind::List(items) = &mut list.kind {
                    items.push(node);
                }
            }
            Some(Open::Map(map, key)) => match (key.take(), &mut map.kind) {
                (Some(k), Kind::Map(pairs)) => {
                    pairs.push((k, node));
                }
                _ => {
                    let Kind::Text(text) = node.kind else {
                        return Err(Problem::new(
                            node.line,
                            "",
                            "a key is not plain text; write `key: value`",
                        ));
                    };
                    let line = node.line;
                    *key = Some(Text { line, text });
                }
            },
        }
        Ok(())
    }

    /// Ends the innermost collection and reports keys that occur twice.
    fn close(&mut self) -> Result<(), Problem> {
        let node = match self.open.pop() {
            Some(Open::List(node) | Open::Map(node, _)) => node,
            None => return Ok(()),
        };
        if let Kind::Map(pairs) = &node.kind {
            let mut seen = std::collections::BTreeMap::new();
            for (key, _) in pairs {
                if self.problems.len() >= PROBLEMS_MAX {
                    break;
                }
                if let Some(first) = seen.insert(key.text.as_str(), key.line) {
                    self.problems.push(Problem::new(
                        key.line,
                        key.text.clone(),
                        format!("the key is also on line {first}; keep one of the two"),
                    ));
                }
            }
        }
        self.add(node)
    }

    fn open(&mut self, open: Open, line: usize) -> Result<(), Problem> {
        if self.open.len() >= DEPTH_MAX {
            return Err(Problem::new(
                line,
                "",
                format!(
                    "nested deeper than {DEPTH_MAX} levels; use the forms shown in docs/settings.md"
                ),
            ));
        }
        self.open.push(open);
        Ok(())
    }

    fn event(&mut self, event: Event<'_>, span: Span) -> Result<(), Problem> {
        let line = span.start.line();
        let anchor = match &event {
            Event::Alias(_) => true,
            Event::Scalar(_, _, id, _)
            | Event::SequenceStart(id, _)
            | Event::MappingStart(id, _) => *id != 0,
            _ => false,
        };
        if anchor {
            return Err(Problem::new(
                line,
                "",
                "anchors and aliases are not supported; write the value out",
            ));
        }
        match event {
            Event::DocumentStart(_) if self.root.is_some() => Err(Problem::new(
                line,
                "",
                "the file holds a second document; remove it",
            )),
            Event::Scalar(text, ..) => {
                let kind = Kind::Text(text.into_owned());
                self.add(Node { line, kind })
            }
            Event::SequenceStart(..) => {
                let kind = Kind::List(Vec::new());
                self.open(Open::List(Node { line, kind }), line)
            }
            Event::MappingStart(..) => {
                let kind = Kind::Map(Vec::new());
                self.open(Open::Map(Node { line, kind }, None), line)
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            _ => Ok(()),
        }
    }
}

/// Parses one document; returns what could be read and the problems found.
pub(crate) fn parse(text: &str) -> (Option<Node>, Vec<Problem>) {
    if text.len() > FILE_MAX {
        let p = Problem::new(0, "", "the file is larger than 4 MiB; split it by region");
        return (None, vec![p]);
    }
    let mut builder = Builder {
        open: Vec::new(),
        root: None,
        problems: Vec::new(),
    };
    let mut parser = Parser::new_from_str(text);
    while let Some(next) = parser.next_event() {
        let end = matches!(next, Ok((Event::StreamEnd, _)));
        let done = match next {
            Ok((event, span)) => builder.event(event, span),
            Err(e) => Err(Problem::new(
                e.marker().line(),
                "",
                format!(
                    "not valid YAML ({}); check indentation and quotes",
                    e.info().replace("; ", ", ")
                ),
            )),
        };
        if let Err(problem) = done {
            builder.problems.push(problem);
            return (None, builder.problems);
        }
        if end {
            break;
        }
    }
    (builder.root, builder.problems)
}

/// Reads a settings file of at most [`FILE_MAX`] bytes.
pub(crate) fn read(file: &Path) -> Result<String, Problem> {
    let cannot = |e: std::io::Error| {
        Problem::new(
            0,
            "",
            format!("the file cannot be read ({e}); check path and permissions"),
        )
    };
    let mut text = Vec::new();
    let file = std::fs::File::open(file).map_err(cannot)?;
    file.take(FILE_MAX as u64 + 1)
        .read_to_end(&mut text)
        .map_err(cannot)?;
    String::from_utf8(text).map_err(|e| {
        let valid = e.utf8_error().valid_up_to();
        let line = 1 + e.as_bytes()[..valid]
            .iter()
            .filter(|b| **b == b'\n')
            .count();
        Problem::new(line, "", "the file is not UTF-8 text; save it as UTF-8")
    })
}
