//! Checks across options.

use linkme::distributed_slice;

use super::{Problem, ServiceSettings, Tree, WorkspaceSettings};
use crate::{base::HashSet, kernel::NodePath};

/// All registered checks.
#[distributed_slice]
pub static CHECKS: [Check];

/// A rule between options, registered beside the section that it protects.
#[derive(Clone, Copy, Debug)]
pub struct Check {
    /// What must hold, for the documentation.
    pub rule: &'static str,
    /// Options that the rule reads; it is not evaluated while one of them has a problem of its own.
    pub options: &'static [&'static str],
    /// Returns what is wrong and the remedy as `reason; remedy`.
    pub run: fn(&Subject<'_>) -> Option<String>,
}

/// The settings in force that a check looks at.
#[derive(Clone, Copy, Debug)]
pub enum Subject<'a> {
    /// A service in a region.
    Service(&'a ServiceSettings),
    /// A workspace of a service in a region.
    Workspace(&'a WorkspaceSettings),
}

/// Evaluates every check for every service and workspace.
pub(super) fn check(tree: &Tree, problems: &mut Vec<Problem>) {
    let faulty: HashSet<String> = problems
        .iter()
        .filter_map(|p| p.key.rsplit_once(' '))
        .map(|(_, option)| option.to_owned())
        .collect();
    let checks: Vec<_> = CHECKS
        .iter()
        .filter(|c| !c.options.iter().any(|o| faulty.contains(*o)))
        .collect();
    for path in tree.nodes.keys() {
        let (mut service, mut workspace) =
            (ServiceSettings::default(), WorkspaceSettings::default());
        let subject = match path {
            NodePath::Root | NodePath::Region(_) => continue,
            NodePath::Service(..) => {
                fold(tree, path, |k, v| drop(service.set(k, v)));
                Subject::Service(&service)
            }
            NodePath::Workspace(..) => {
                fold(tree, path, |k, v| drop(workspace.set(k, v)));
                Subject::Workspace(&workspace)
            }
        };
        for check in &checks {
            if let Some(text) = (check.run)(&subject) {
                problems.push(place(tree, path, check, &text));
            }
        }
    }
    problems.sort();
    problems.dedup();
}

/// Passes the options of a node and its ancestors to `set`, root first.
///
/// Values that are not valid have been reported and leave the default in place.
fn fold(tree: &Tree, path: &NodePath, mut set: impl FnMut(&str, &str)) {
    for ancestor in path.lineage() {
        for (key, text) in tree.nodes.get(&ancestor).into_iter().flatten() {
            set(key, text);
        }
    }
}

/// Names the deepest node that sets one of the check's options, because the options above it agreed before.
fn place(tree: &Tree, path: &NodePath, check: &Check, text: &str) -> Problem {
    let deepest = check
        .options
        .iter()
        .filter_map(|o| Some((tree.source(path, o)?, *o)))
        .max_by_key(|(p, _)| p.level());
    match deepest {
        Some((p, o)) => Problem::new(tree.line(&p, o), format!("{p} {o}"), text),
        None => Problem::new(
            tree.line(path, ""),
            format!("{path} {}", check.options[0]),
            text,
        ),
    }
}
