//! The difference between a file and the agreed settings tree.

use std::collections::{BTreeMap, BTreeSet};

use super::OperatorError;
use crate::{
    base::Offset,
    kernel::{Config, Conflict, NodePath, Publish, Values},
    settings::{Problems, Tree},
};

/// A change that turns the agreed tree into the wanted one, relative to the state that the operator saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// New values of each changed node; `None` removes the node.
    pub nodes: BTreeMap<NodePath, Option<Values>>,
    /// Revisions of the changed nodes and their ancestors in the state that the operator saw.
    pub base: BTreeMap<NodePath, Offset>,
}

/// Returns a node's values, or `None` if it does not exist.
fn live<'a>(config: &'a Config, path: &NodePath) -> Option<&'a Values> {
    config.node(path).filter(|n| n.live).map(|n| &n.values)
}

impl Change {
    /// Compares `wanted` with the tree `seen` that it was made from; changes that `head` holds already are left out.
    pub fn new(wanted: &Tree, seen: &Config, head: &Config) -> Self {
        let mut change = Self::default();
        let seen_live = seen.nodes().filter(|(_, n)| n.live).map(|(p, _)| p);
        let paths: BTreeSet<&NodePath> = wanted.nodes.keys().chain(seen_live).collect();
        for path in paths {
            let new = wanted.nodes.get(path);
            // The root always exists; without values it is equal to a root that was never published.
            let empty_root = *path == NodePath::Root && new.is_none_or(Values::is_empty);
            let same = |old: Option<&Values>| {
                old == new || (empty_root && old.is_none_or(Values::is_empty))
            };
            if same(live(seen, path)) || same(live(head, path)) {
                continue;
            }
            change.nodes.insert(path.clone(), new.cloned());
            // An ancestor's values are inherited, so a change of it since then is a change of this node too.
            for p in path.lineage() {
                let revision = seen.node_revision(&p);
                change.base.insert(p, revision);
            }
        }
        change
    }

    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the nodes that others changed since the state that the operator saw.
    pub fn conflicts(&self, head: &Config, author: &str) -> Vec<Conflict> {
        let changed = self
            .base
            .iter()
            .filter(|(p, base)| head.node_revision(p) != **base);
        changed
            .map(|(path, base)| Conflict {
                path: path.clone(),
                base: *base,
                found: head.node_revision(path),
                winner: head
                    .node(path)
                    .map_or_else(String::new, |n| n.author.clone()),
                author: author.to_owned(),
            })
            .collect()
    }

    /// Checks the tree that results when this change is applied to `head`.
    ///
    /// # Errors
    ///
    /// Returns the problems of the merged tree; the file alone may be valid.
    pub fn check(&self, head: &Config) -> Result<(), OperatorError> {
        let mut tree = Tree::from(head);
        for (path, values) in &self.nodes {
            match values {
                Some(values) => drop(tree.nodes.insert(path.clone(), values.clone())),
                None => tree.nodes.retain(|p, _| !p.is_within(path)),
            }
        }
        tree.validate()
            .map_err(|p| Problems::new("merged tree", p).into())
    }

    /// Builds the log record's body.
    pub fn publish(&self, author: &str) -> Publish {
        let copy = |(p, r): (&NodePath, &Offset)| (p.clone(), *r);
        Publish {
            author: author.to_owned(),
            base: self.base.iter().map(copy).collect(),
            nodes: self.nodes.clone().into_iter().collect(),
        }
    }

    /// Describes the change, one line for each option.
    pub fn lines(&self, head: &Config) -> Vec<String> {
        let mut out = Vec::new();
        let none = Values::new();
        for (path, new) in &self.nodes {
            let old = live(head, path);
            match (old, new) {
                (None, Some(_)) => out.push(format!("+ {path}")),
                (Some(_), None) => {
                    out.push(format!("- {path}"));
                    continue;
                }
                _ => {}
            }
            let (old, new) = (old.unwrap_or(&none), new.as_ref().unwrap_or(&none));
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                match (old.get(key), new.get(key)) {
                    (Some(a), Some(b)) if a != b => {
                        out.push(format!("~ {path} {key}: {a} -> {b}"));
                    }
                    (Some(a), None) => out.push(format!("- {path} {key}: {a}")),
                    (None, Some(b)) => out.push(format!("+ {path} {key}: {b}")),
                    _ => {}
                }
            }
        }
        out
    }

    /// Describes the change for programs.
    pub fn json(&self) -> serde_json::Value {
        let text = |(p, v): (&NodePath, &Option<Values>)| (p.to_string(), serde_json::json!(v));
        self.nodes
            .iter()
            .map(text)
            .collect::<serde_json::Map<_, _>>()
            .into()
    }
}
