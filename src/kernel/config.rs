//! The settings tree as agreed through the log.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use super::record::Publish;
use crate::base::{Offset, Region, Service, Workspace};

/// Largest number of nodes in the tree.
pub const NODES_MAX: usize = 16_384;

/// Largest number of options in one node.
const VALUES_MAX: usize = 256;

/// Largest length of one option value, in bytes.
const VALUE_MAX: usize = 8192;

/// Options of one node, by name, as checked text.
pub type Values = BTreeMap<String, String>;

/// Position of a node: the root, a region, a service in a region, or a workspace of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NodePath {
    /// Defaults for everything.
    #[default]
    Root,
    /// A region.
    Region(Region),
    /// A service in a region.
    Service(Region, Service),
    /// A workspace of a service in a region.
    Workspace(Region, Service, Workspace),
}

/// A node path that does not have the expected form.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error(
    "`{0}` is not a node; use `/`, `/region`, `/region/service` or `/region/service/workspace`"
)]
pub struct PathError(String);

impl NodePath {
    /// Returns the parent node, or `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        match self {
            Self::Root => None,
            Self::Region(_) => Some(Self::Root),
            Self::Service(r, _) => Some(Self::Region(r.clone())),
            Self::Workspace(r, s, _) => Some(Self::Service(r.clone(), s.clone())),
        }
    }

    /// Returns this node and its ancestors, root first.
    pub fn lineage(&self) -> Vec<Self> {
        let mut out: Vec<_> = std::iter::successors(Some(self.clone()), Self::parent).collect();
        out.reverse();
        out
    }

    /// Returns whether this node is `other` or lies below it.
    pub fn is_within(&self, other: &Self) -> bool {
        std::iter::successors(Some(self.clone()), Self::parent).any(|p| p == *other)
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("/"),
            Self::Region(r) => write!(f, "/{r}"),
            Self::Service(r, s) => write!(f, "/{r}/{s}"),
            Self::Workspace(r, s, w) => write!(f, "/{r}/{s}/{w}"),
        }
    }
}

impl FromStr for NodePath {
    type Err = PathError;

    fn from_str(s: &str) -> Result<Self, PathError> {
        let err = || PathError(s.chars().take(200).collect());
        let rest = s.strip_prefix('/').ok_or_else(err)?;
        if rest.is_empty() {
            return Ok(Self::Root);
        }
        let parts: Vec<_> = rest.split('/').collect();
        match parts[..] {
            [r] => Ok(Self::Region(r.parse().map_err(|_| err())?)),
            [r, s] => Ok(Self::Service(
                r.parse().map_err(|_| err())?,
                s.parse().map_err(|_| err())?,
            )),
            [r, s, w] => Ok(Self::Workspace(
                r.parse().map_err(|_| err())?,
                s.parse().map_err(|_| err())?,
                w.parse().map_err(|_| err())?,
            )),
            _ => Err(err()),
        }
    }
}

/// One node of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Offset of the last accepted change of this node.
    pub revision: Offset,
    /// Who made that change.
    pub author: String,
    /// Whether the node exists; a removed node keeps its revision and has no values.
    pub live: bool,
    /// Options set at this node.
    pub values: Values,
}

/// A change that was refused because a node it was made against has changed since.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{path} was changed at offset {found} by {winner}, after offset {base} that this change of {author} was made \
     against; run `sesamewing diff`, merge and publish again"
)]
pub struct Conflict {
    /// The node that differs.
    pub path: NodePath,
    /// Revision that the refused change was made against.
    pub base: Offset,
    /// Revision in force.
    pub found: Offset,
    /// Author of the revision in force.
    pub winner: String,
    /// Author of the refused change.
    pub author: String,
}

/// All nodes of the settings tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    /// Live and removed nodes; at most [`NODES_MAX`].
    nodes: BTreeMap<NodePath, Node>,
    /// Offset of the last accepted change.
    revision: Offset,
}

impl Config {
    /// Returns the offset of the last accepted change.
    pub fn revision(&self) -> Offset {
        self.revision
    }

    /// Returns a node.
    pub fn node(&self, path: &NodePath) -> Option<&Node> {
        self.nodes.get(path)
    }

    /// Iterates over all nodes in path order.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodePath, &Node)> {
        self.nodes.iter()
    }

    /// Returns the revision of a node, 0 if it never existed.
    pub fn node_revision(&self, path: &NodePath) -> Offset {
        self.nodes.get(path).map_or(Offset(0), |n| n.revision)
    }

    /// Finds the first base revision that is no longer in force.
    fn conflict(&self, p: &Publish) -> Option<Conflict> {
        let differing = p
            .base
            .iter()
            .find(|(path, base)| self.node_revision(path) != *base)
            .map(|(path, base)| (path, *base));
        let (path, base) = differing.or_else(|| self.unseen(p).map(|path| (path, Offset(0))))?;
        let node = self.nodes.get(path);
        Some(Conflict {
            path: path.clone(),
            base,
            found: self.node_revision(path),
            winner: node.map_or_else(String::new, |n| n.author.clone()),
            author: p.author.clone(),
        })
    }

    /// Finds a node that a removal would remove although the change does not name it.
    ///
    /// Such a node was added after the removal was prepared; to remove it would revert an accepted change.
    fn unseen(&self, p: &Publish) -> Option<&NodePath> {
        let removed: BTreeSet<&NodePath> = p
            .nodes
            .iter()
            .filter(|(_, values)| values.is_none())
            .map(|(path, _)| path)
            .collect();
        if removed.is_empty() {
            return None;
        }
        let named: BTreeSet<&NodePath> = p.base.iter().map(|(path, _)| path).collect();
        let live = self.nodes.iter().filter(|(_, n)| n.live);
        live.map(|(path, _)| path).find(|path| {
            let mut up = std::iter::successors(Some((*path).clone()), NodePath::parent);
            !named.contains(path) && up.any(|p| removed.contains(&p))
        })
    }

    /// Returns whether a change fits the bounds of the tree, and names each changed node once and with a base.
    fn well_formed(&self, p: &Publish) -> bool {
        let sizes = p.nodes.iter().filter_map(|(_, v)| v.as_ref()).all(|v| {
            v.len() <= VALUES_MAX && v.iter().all(|(k, v)| k.len() <= 64 && v.len() <= VALUE_MAX)
        });
        let based: BTreeSet<&NodePath> = p.base.iter().map(|(path, _)| path).collect();
        let named: BTreeSet<&NodePath> = p.nodes.iter().map(|(path, _)| path).collect();
        // Each removal looks at the whole tree: 100,000 of one node in a record would block every process.
        let once = named.len() == p.nodes.len() && named.is_subset(&based);
        let room = p
            .nodes
            .iter()
            .filter(|(path, _)| !self.nodes.contains_key(path))
            .count();
        sizes && once && p.author.len() <= 64 && self.nodes.len() + room <= NODES_MAX
    }

    /// Applies a change at `offset`; `Ok(false)` if it is out of bounds.
    pub(super) fn apply(&mut self, offset: Offset, p: &Publish) -> Result<bool, Conflict> {
        if let Some(conflict) = self.conflict(p) {
            return Err(conflict);
        }
        if !self.well_formed(p) {
            return Ok(false);
        }
        for (path, values) in &p.nodes {
            match values {
                Some(values) => self.set(offset, path, Some(values.clone()), &p.author),
                None => self.remove(offset, path, &p.author),
            }
        }
        self.revision = offset;
        Ok(true)
    }

    fn set(&mut self, revision: Offset, path: &NodePath, values: Option<Values>, author: &str) {
        let (author, live) = (author.to_owned(), values.is_some());
        let values = values.unwrap_or_default();
        self.nodes.insert(
            path.clone(),
            Node {
                revision,
                author,
                live,
                values,
            },
        );
    }

    /// Clears a node and everything below it; revisions stay, so that a change against the old tree conflicts.
    fn remove(&mut self, revision: Offset, path: &NodePath, author: &str) {
        let below: Vec<_> = self
            .nodes
            .keys()
            .filter(|p| p.is_within(path))
            .cloned()
            .collect();
        for p in below {
            self.set(revision, &p, None, author);
        }
    }
}
