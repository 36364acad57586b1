//! The settings tree as operators write it: one YAML file.

use std::{collections::BTreeMap, fmt::Write, path::Path};

use super::{
    check::check,
    fields::{nearest, unknown, Fields},
    section::{Level, OPTIONS},
    yaml::{self, Node, Pair},
    Problem, Problems, PROBLEMS_MAX,
};
use crate::{
    base::Offset,
    kernel::{Config, NodePath, Values, NODES_MAX},
};

/// Largest number of bytes of one value; the kernel rejects longer ones.
const VALUE_MAX: usize = 8192;

/// A settings tree with the places of its options.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// Offset that the tree was pulled at, if the file says.
    pub revision: Option<Offset>,
    /// Options of each node; the root is always present, and every other node's parent is present.
    pub nodes: BTreeMap<NodePath, Values>,
    /// Line of each node and, by option, of its values; empty for trees that were not read from a file.
    lines: BTreeMap<(NodePath, String), usize>,
}

impl NodePath {
    /// Returns the level of this node.
    pub fn level(&self) -> Level {
        match self {
            Self::Root => Level::Root,
            Self::Region(_) => Level::Region,
            Self::Service(..) => Level::Service,
            Self::Workspace(..) => Level::Workspace,
        }
    }
}

impl From<&Config> for Tree {
    fn from(config: &Config) -> Self {
        let mut tree = Self::default();
        tree.nodes.insert(NodePath::Root, Values::new());
        for (path, node) in config.nodes().filter(|(_, n)| n.live) {
            tree.nodes.insert(path.clone(), node.values.clone());
        }
        tree
    }
}

impl Tree {
    /// Reads and checks a tree.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file with line, key and remedy.
    pub fn load(file: &Path) -> Result<Self, Problems> {
        let name = file.display().to_string();
        let text = yaml::read(file).map_err(|p| Problems::new(&name, vec![p]))?;
        Self::parse(&text).map_err(|p| Problems::new(name, p))
    }

    /// Reads and checks a tree from YAML text.
    ///
    /// # Errors
    ///
    /// Returns every problem with line, key and remedy.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let (node, mut problems) = yaml::parse(text);
        let mut tree = Self::default();
        tree.nodes.insert(NodePath::Root, Values::new());
        match &node {
            Some(node) => tree.read(node, &mut problems),
            // An empty file would remove all settings when it is published.
            None if problems.is_empty() => problems.push(Problem::new(
                0,
                "",
                "the file is empty; write `regions: {}` if no settings are wanted",
            )),
            None => {}
        }
        check(&tree, &mut problems);
        if problems.is_empty() {
            return Ok(tree);
        }
        Err(problems)
    }

    /// Checks a tree that was not read from a file.
    ///
    /// # Errors
    ///
    /// Returns every problem with key and remedy.
    pub fn validate(&self) -> Result<(), Vec<Problem>> {
        let mut problems = Vec::new();
        for (path, values) in &self.nodes {
            for (key, text) in values {
                problems.extend(value_problem(path, key, text, 0));
            }
        }
        check(self, &mut problems);
        if problems.is_empty() {
            return Ok(());
        }
        Err(problems)
    }

    /// Returns the node nearest to `path`, itself or an ancestor, that sets an option.
    pub fn source(&self, path: &NodePath, key: &str) -> Option<NodePath> {
        let sets = |p: &NodePath| self.nodes.get(p).is_some_and(|v| v.contains_key(key));
        path.lineage().into_iter().rev().find(sets)
    }

    /// Returns the line of an option at a node, or of the node itself for an empty option; 0 if it has none.
    pub fn line(&self, path: &NodePath, key: &str) -> usize {
        let place = (path.clone(), key.to_owned());
        self.lines.get(&place).copied().unwrap_or(0)
    }

    fn read(&mut self, node: &Node, problems: &mut Vec<Problem>) {
        let mut f = Fields::new("", node, problems);
        self.revision = f.optional("revision", problems);
        if let Some(defaults) = f.node("defaults") {
            self.read_values(&NodePath::Root, "defaults", defaults, problems);
        }
        let regions = children(&mut f, "regions", problems);
        f.finish(problems);
        for (name, node) in regions {
            let Some(region) = parse_name(name, "regions", problems) else {
                continue;
            };
            let path = NodePath::Region(region);
            for (name, node) in self.read_node(&path, node, "services", problems) {
                let Some(path) = child(&path, name, problems) else {
                    continue;
                };
                for (name, node) in self.read_node(&path, node, "workspaces", problems) {
                    if let Some(path) = child(&path, name, problems) {
                        self.read_node(&path, node, "", problems);
                    }
                }
            }
        }
        if self.nodes.len() > NODES_MAX {
            let n = self.nodes.len();
            problems.push(Problem::new(
                0,
                "",
                format!("the tree has {n} nodes, at most {NODES_MAX} are possible; move options to their parents"),
            ));
        }
    }

    /// Reads a node's options and returns its children.
    fn read_node<'a>(
        &mut self,
        path: &NodePath,
        node: &'a Node,
        below: &'static str,
        problems: &mut Vec<Problem>,
    ) -> &'a [Pair] {
        self.lines.insert((path.clone(), String::new()), node.line);
        self.nodes.insert(path.clone(), Values::new());
        let mut f = Fields::new(&format!("{path} "), node, problems);
        if let Some(settings) = f.node("settings") {
            self.read_values(path, &format!("{path} settings"), settings, problems);
        }
        let pairs = match below {
            "" => &[],
            _ => children(&mut f, below, problems),
        };
        f.finish(problems);
        pairs
    }

    /// Reads options, written as `section: {name: value}` or as `section.name: value`.
    fn read_values(
        &mut self,
        path: &NodePath,
        key: &str,
        node: &Node,
        problems: &mut Vec<Problem>,
    ) {
        let Some(pairs) = node.pairs() else {
            problems.push(Problem::new(
                node.line,
                key,
                "not a mapping; write options as `limit: {rate: 100}`",
            ));
            return;
        };
        for (k, value) in pairs {
            let nested = !k.text.contains('.') && value.text().is_none();
            match value.pairs().filter(|_| nested) {
                Some(options) => {
                    for (name, value) in options {
                        let key = format!("{}.{}", k.text, name.text);
                        self.read_value(path, key, name.line, value, problems);
                    }
                }
                None => self.read_value(path, k.text.clone(), k.line, value, problems),
            }
        }
    }

    fn read_value(
        &mut self,
        path: &NodePath,
        key: String,
        line: usize,
        value: &Node,
        problems: &mut Vec<Problem>,
    ) {
        if problems.len() >= PROBLEMS_MAX {
            return;
        }
        let full = || format!("{path} {key}");
        let Some(text) = value.text() else {
            let message = "a mapping or nested list stands where one value is expected; write one value or a flat list";
            problems.push(Problem::new(line, full(), message));
            return;
        };
        if let Some(first) = self.lines.get(&(path.clone(), key.clone())) {
            let message = format!("the option is also set on line {first}; keep one of the two");
            problems.push(Problem::new(line, full(), message));
            return;
        }
        problems.extend(value_problem(path, &key, &text, line));
        self.lines.insert((path.clone(), key.clone()), line);
        // The node exists: callers insert it before its options.
        self.nodes
            .entry(path.clone())
            .or_default()
            .insert(key, text);
    }

    /// Writes the tree in the form that [`Tree::parse`] reads.
    pub fn to_yaml(&self) -> String {
        let mut out = String::new();
        if let Some(revision) = self.revision {
            let _ = writeln!(out, "revision: {revision}");
        }
        // Depth first, so that each node follows its parent or a sibling's subtree.
        let mut order: Vec<_> = self
            .nodes
            .iter()
            .map(|(path, values)| (segments(path), path, values))
            .collect();
        order.sort();
        let mut last = None;
        for (_, path, values) in order {
            write_node(&mut out, path, values, last == path.parent());
            last = Some(path.clone());
        }
        if self.nodes.len() <= 1 {
            out.push_str("regions: {}\n");
        }
        out
    }
}

/// Returns the names along a path.
fn segments(path: &NodePath) -> Vec<String> {
    match path {
        NodePath::Root => Vec::new(),
        _ => path
            .to_string()
            .split('/')
            .skip(1)
            .map(str::to_owned)
            .collect(),
    }
}

/// Writes one node; `first` says that it is its parent's first child.
fn write_node(out: &mut String, path: &NodePath, values: &Values, first: bool) {
    let (depth, head, name) = match path {
        NodePath::Root => (0, "", ""),
        NodePath::Region(r) => (2, "regions", r.as_str()),
        NodePath::Service(_, s) => (6, "services", s.as_str()),
        NodePath::Workspace(_, _, w) => (10, "workspaces", w.as_str()),
    };
    // Writing to a `String` does not fail.
    if first && depth > 0 {
        let _ = writeln!(out, "{:1$}{head}:", "", depth - 2);
    }
    let (label, depth) = if name.is_empty() {
        ("defaults", depth)
    } else {
        let _ = writeln!(out, "{:depth$}{}:", "", quoted(name));
        ("settings", depth + 2)
    };
    if values.is_empty() {
        let _ = writeln!(out, "{:depth$}{label}: {{}}", "");
        return;
    }
    let _ = writeln!(out, "{:depth$}{label}:", "");
    for (key, text) in values {
        let _ = writeln!(out, "{:depth$}  {key}: {}", "", quoted(text));
    }
}

/// Quotes text unless it is plain in every YAML version.
fn quoted(text: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | '%');
    let starts = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts && text.chars().all(plain) && text != "null" {
        return text.to_owned();
    }
    let escape = |c: char| match c {
        '"' => "\\\"".to_owned(),
        '\\' => "\\\\".to_owned(),
        c if c.is_control() || !c.is_ascii() => format!("\\U{:08x}", u32::from(c)),
        c => c.to_string(),
    };
    format!("\"{}\"", text.chars().map(escape).collect::<String>())
}

/// Returns the pairs of a mapping of children.
fn children<'a>(f: &mut Fields<'a>, name: &'static str, problems: &mut Vec<Problem>) -> &'a [Pair] {
    let Some(node) = f.node(name) else {
        return &[];
    };
    node.pairs().unwrap_or_else(|| {
        let message = "not a mapping; write one line for each name and its settings below it";
        problems.push(Problem::new(node.line, name, message));
        &[]
    })
}

fn parse_name<T: std::str::FromStr>(
    name: &yaml::Text,
    parent: &str,
    problems: &mut Vec<Problem>,
) -> Option<T>
where
    T::Err: std::fmt::Display,
{
    // Nodes after the last reported problem are left out; the file is refused anyway.
    if problems.len() >= PROBLEMS_MAX {
        return None;
    }
    name.text
        .parse()
        .map_err(|e: T::Err| problems.push(Problem::new(name.line, parent, e)))
        .ok()
}

fn child(parent: &NodePath, name: &yaml::Text, problems: &mut Vec<Problem>) -> Option<NodePath> {
    let key = parent.to_string();
    match parent {
        NodePath::Region(r) => Some(NodePath::Service(
            r.clone(),
            parse_name(name, &key, problems)?,
        )),
        NodePath::Service(r, s) => Some(NodePath::Workspace(
            r.clone(),
            s.clone(),
            parse_name(name, &key, problems)?,
        )),
        NodePath::Root | NodePath::Workspace(..) => None,
    }
}

/// Checks one option: its name, its level, its type and its range.
fn value_problem(path: &NodePath, key: &str, text: &str, line: usize) -> Option<Problem> {
    let full = format!("{path} {key}");
    let Some(spec) = OPTIONS.iter().find(|s| s.key == key) else {
        let hint = nearest(key, OPTIONS.iter().map(|s| s.key));
        return Some(unknown(line, full, hint));
    };
    if path.level() > spec.level {
        let message = format!(
            "the option cannot be set for a single {}; move it to the {} or above",
            path.level().noun(),
            spec.level.noun(),
        );
        return Some(Problem::new(line, full, message));
    }
    if text.len() > VALUE_MAX {
        let message = format!("the value is longer than {VALUE_MAX} bytes; shorten it");
        return Some(Problem::new(line, full, message));
    }
    (spec.check)(text)
        .err()
        .map(|e| Problem::new(line, full, e))
}
