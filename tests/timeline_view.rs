//! The merged time line and its drawing.

use proptest::prelude::*;
use sesamewing::{
    observe::{Moment, Scope},
    operator::{merge, render},
};

fn moment(process: &str, time_ms: u64, sequence: u64, text: &str) -> Moment {
    Moment {
        time_ms,
        sequence,
        process: process.parse().expect("a name"),
        event: "SW401 request-routed".to_owned(),
        scope: Scope::default(),
        text: text.to_owned(),
    }
}

/// Returns whether each element is closed in order.
fn well_formed(svg: &str) -> bool {
    let mut open = Vec::new();
    let mut rest = svg;
    while let Some((_, tail)) = rest.split_once('<') {
        let Some((tag, after)) = tail.split_once('>') else {
            return false;
        };
        let name = tag.split([' ', '/']).next().unwrap_or_default();
        if let Some(name) = tag.strip_prefix('/') {
            if open.pop() != Some(name) {
                return false;
            }
        } else if !tag.ends_with('/') {
            open.push(name);
        }
        rest = after;
    }
    open.is_empty()
}

#[test]
fn processes_are_merged_by_time() {
    let a = vec![moment("a", 10, 0, "a0"), moment("a", 30, 1, "a1")];
    let b = vec![moment("b", 20, 0, "b0"), moment("b", 20, 1, "b1")];
    let texts: Vec<_> = merge(vec![a, b]).into_iter().map(|m| m.text).collect();
    assert_eq!(texts, ["a0", "b0", "b1", "a1"]);
}

/// A wall clock that steps back must not show an effect before its cause in the same process.
#[test]
fn a_process_keeps_its_own_order() {
    let a = vec![moment("a", 20, 0, "first"), moment("a", 10, 1, "second")];
    let texts: Vec<_> = merge(vec![a]).into_iter().map(|m| m.text).collect();
    assert_eq!(texts, ["first", "second"]);
}

#[test]
fn each_process_has_a_row_with_labels() {
    let moments = vec![
        moment("entry-1", 1000, 0, "to agent-1"),
        moment("agent-1", 1003, 0, "<script>&\"\u{1}"),
    ];
    let svg = render(&moments);
    assert!(well_formed(&svg), "{svg}");
    assert_eq!(svg.matches("class=\"name\"").count(), 2);
    assert!(svg.contains("request-routed: to agent-1"));
    assert!(!svg.contains("<script"));
    assert!(well_formed(&render(&[])));
}

proptest! {
    #[test]
    fn any_moments_can_be_drawn(list in prop::collection::vec((0u8..5, any::<u64>(), "\\PC{0,60}"), 0..60)) {
        let mut parts: Vec<Vec<Moment>> = vec![Vec::new(); 5];
        for (i, (p, time, text)) in list.iter().enumerate() {
            parts[usize::from(*p)].push(moment(&format!("p{p}"), *time, i as u64, text));
        }
        let merged = merge(parts);
        prop_assert_eq!(merged.len(), list.len());
        prop_assert!(well_formed(&render(&merged)));
    }
}
