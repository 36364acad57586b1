//! The event catalogue: unique numbers and names, remedies, and the page that lists them.

use std::{collections::BTreeSet, fs, path::Path};

use sesamewing::{base::event::EVENTS, operator};

#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = EVENTS.iter().map(|e| e.number).collect();
    let names: BTreeSet<_> = EVENTS.iter().map(|e| e.name).collect();
    assert_eq!(numbers.len(), EVENTS.len());
    assert_eq!(names.len(), EVENTS.len());
    for e in EVENTS {
        assert!((100..1000).contains(&e.number), "{e}");
        assert!(!e.meaning.is_empty() && !e.remedy.is_empty(), "{e}");
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        assert!(e.name.chars().all(valid), "{e}");
    }
}

/// An event or option that is missing on its page cannot be looked up by an operator.
#[test]
fn pages_hold_the_generated_tables() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    for (page, table) in [
        ("events.md", operator::events_table()),
        ("settings.md", operator::options_table()),
    ] {
        let text = fs::read_to_string(docs.join(page)).expect("a page");
        assert!(
            text.contains(&table),
            "run scripts/catalogue and commit docs/{page}"
        );
    }
}
