//! The settings tree from YAML: reader, option checks and checks across options.

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use proptest::prelude::*;
use sesamewing::{
    kernel::NodePath,
    settings::{Tree, CHECKS, OPTIONS},
};

const TREE: &str = "\
defaults:
  limit: {rate: 100}
  request.deadline: 20s
regions:
  east:
    settings:
      weights.crossing: 40%
    services:
      drafts:
        settings:
          weights: {version: v1, prefer: origin}
          weights.manifest: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
        workspaces:
          ws-1:
            settings: {limit: {rate: 7, wait: 1s}}
          ws-2:
  west: {}
";

fn path(s: &str) -> NodePath {
    s.parse().expect("a path")
}

/// Returns the problems of a tree as `line key`.
fn problems(text: &str) -> Vec<String> {
    let found = Tree::parse(text).expect_err("must be refused");
    for p in &found {
        assert!(!p.reason.is_empty() && !p.remedy.is_empty(), "{p:?}");
    }
    found
        .iter()
        .map(|p| format!("{} {}", p.line, p.key))
        .collect()
}

/// Wraps options into a service and a workspace.
fn with(service: &str, workspace: &str) -> String {
    format!(
        "regions: {{east: {{services: {{s: {{settings: {{{service}}},\n workspaces: {{w: {{settings: {{{workspace}}}}}}}}}}}}}}}"
    )
}

#[test]
fn nested_and_dotted_options_are_equal() {
    let tree = Tree::parse(TREE).expect("valid");
    let paths: Vec<_> = tree.nodes.keys().map(ToString::to_string).collect();
    let wanted = [
        "/",
        "/east",
        "/west",
        "/east/drafts",
        "/east/drafts/ws-1",
        "/east/drafts/ws-2",
    ];
    assert_eq!(
        paths.iter().map(String::as_str).collect::<BTreeSet<_>>(),
        BTreeSet::from(wanted)
    );
    let root = &tree.nodes[&NodePath::Root];
    assert_eq!(root["limit.rate"], "100");
    assert_eq!(root["request.deadline"], "20s");
    let drafts = &tree.nodes[&path("/east/drafts")];
    assert_eq!(drafts["weights.version"], "v1");
    assert_eq!(drafts.len(), 3);
    assert_eq!(tree.line(&path("/east/drafts/ws-1"), "limit.wait"), 15);
    let w = path("/east/drafts/ws-1");
    assert_eq!(tree.source(&w, "limit.rate"), Some(w.clone()));
    assert_eq!(tree.source(&w, "request.deadline"), Some(NodePath::Root));
}

#[test]
fn written_trees_read_back_equal() {
    let tree = Tree::parse(TREE).expect("valid");
    let text = tree.to_yaml();
    let again = Tree::parse(&text).unwrap_or_else(|e| panic!("{e:?}\n{text}"));
    assert_eq!(again.nodes, tree.nodes, "{text}");
}

#[test]
fn option_mistakes_name_line_and_key() {
    for (from, to, wanted) in [
        ("limit: {rate: 100}", "limit: {rat: 100}", "2 / limit.rat"),
        (
            "limit: {rate: 100}",
            "limit: {rate: 100s}",
            "2 / limit.rate",
        ),
        ("limit: {rate: 100}", "limit: {rate: 0}", "2 / limit.rate"),
        (
            "limit: {rate: 100}",
            "limit: {rate: {a: b}}",
            "2 / limit.rate",
        ),
        (
            "limit: {rate: 100}",
            "limit: {rate: 100}\n  limit.rate: 5",
            "3 / limit.rate",
        ),
        ("limit: {rate: 100}", "limit: 100", "2 / limit"),
        (
            "request.deadline: 20s",
            "request.deadline: 20",
            "3 / request.deadline",
        ),
        (
            "weights.crossing: 40%",
            "weights.crossing: 140%",
            "7 /east weights.crossing",
        ),
        (
            "prefer: origin",
            "crossing: 5%",
            "11 /east/drafts weights.crossing",
        ),
        (
            "{rate: 7, wait: 1s}",
            "{rate: 7}, retry.attempts: 2",
            "15 /east/drafts/ws-1 retry.attempts",
        ),
        ("west: {}", "west: {setting: {}}", "17 /west setting"),
        ("west: {}", "'we st': {}", "17 regions"),
        ("west: {}", "west: 7", "17 /west"),
        (
            "ws-2:",
            "ws-2: {workspaces: {}}",
            "16 /east/drafts/ws-2 workspaces",
        ),
    ] {
        assert!(TREE.contains(from), "{from}");
        let got = problems(&TREE.replace(from, to));
        assert!(got.iter().any(|g| g == wanted), "{to}: {got:?}");
    }
}

#[test]
fn all_problems_are_reported_with_a_hint() {
    let text = TREE
        .replace("rate: 100", "rste: 100")
        .replace("20s", "20sec");
    let found = Tree::parse(&text).expect_err("refused");
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].remedy.contains("`limit.rate`"), "{found:?}");
}

#[test]
fn each_cross_check_fires() {
    let hash = |c: &str| c.repeat(64);
    let three = [hash("a"), hash("b"), hash("c")].join(", ");
    for (service, workspace, wanted) in [
        ("weights.version: v1", "", "1 /east/s weights.version"),
        (
            &format!("weights.manifest: {}", hash("a")),
            "",
            "1 /east/s weights.manifest",
        ),
        (
            "burst: {replicas: 5, ceiling: 4}",
            "",
            "1 /east/s burst.ceiling",
        ),
        ("claim.readback: 40s", "", "1 /east/s claim.readback"),
        (
            "claim: {linger: 1s, readback: 1s}",
            "",
            "1 /east/s claim.readback",
        ),
        ("retry.budget: 0%", "", "1 /east/s retry.budget"),
        ("", "limit.wait: 40s", "2 /east/s/w limit.wait"),
        (
            "",
            "request.deadline: 400ms",
            "2 /east/s/w request.deadline",
        ),
        (
            "",
            &format!("access.keys: [{three}]"),
            "2 /east/s/w access.keys",
        ),
        (
            "",
            &format!("access.keys: [{}, {}]", hash("a"), hash("a")),
            "2 /east/s/w access.keys",
        ),
    ] {
        let got = problems(&with(service, workspace));
        assert_eq!(got, [wanted], "{service} {workspace}");
    }
    assert_matches!(
        Tree::parse(&with("", &format!("access.keys: [{}]", hash("a")))),
        Ok(_)
    );
}

/// Guards against a log that drops claims whose ids are still accepted.
#[test]
fn claims_stay_in_the_log() {
    for (root, wanted) in [
        ("{claim.window: 24h}", vec!["1 / claim.window"]),
        ("{claim.window: 23h}", vec![]),
        ("{log.retention: 12h}", vec!["1 / log.retention"]),
        ("{log.retention: 1h, claim.window: 30min}", vec![]),
        ("{log.retention: 59s}", vec!["1 / log.retention"]),
    ] {
        let text = format!("defaults: {root}\nregions: {{east: {{services: {{s: {{}}}}}}}}\n");
        match Tree::parse(&text) {
            Ok(_) => assert!(wanted.is_empty(), "{root}"),
            Err(_) => assert_eq!(problems(&text), wanted, "{root}"),
        }
    }
}

/// A rule that reads a faulty option would report a second problem that does not exist.
#[test]
fn faulty_options_silence_their_cross_checks() {
    let got = problems(&with("weights: {version: v1, manifest: xyz}", ""));
    assert_eq!(got, ["1 /east/s weights.manifest"]);
}

#[test]
fn the_options_table_is_consistent() {
    let keys: BTreeSet<_> = OPTIONS.iter().map(|s| s.key).collect();
    assert_eq!(keys.len(), OPTIONS.len());
    for spec in OPTIONS {
        assert_matches!((spec.check)(spec.default), Ok(()), "{}", spec.key);
        for bound in [spec.min, spec.max].into_iter().filter(|b| !b.is_empty()) {
            assert_matches!((spec.check)(bound), Ok(()), "{}", spec.key);
        }
    }
    for check in CHECKS {
        assert!(
            check.options.iter().all(|o| keys.contains(o)),
            "{}",
            check.rule
        );
    }
}

/// Guards against a parser that recurses or expands without bound.
#[test]
fn hostile_documents_are_refused() {
    let deep = format!("defaults: {}", "{a: ".repeat(100_000));
    let bomb = format!(
        "a: &a [x]\nb: &b [{0}]\nregions: [{0}]",
        "*a,".repeat(10_000)
    );
    let many: String = (0..20_000).map(|i| format!("  r{i}: {{}}\n")).collect();
    let many = format!("regions:\n{many}");
    let long = "x".repeat((4 << 20) + 1);
    let value = format!(
        "defaults: {{request.repeatable: '{}'}}",
        "GET,".repeat(3000)
    );
    for text in [
        deep.as_str(),
        &bomb,
        &many,
        &long,
        &value,
        "",
        "x",
        "[]",
        "a: b: c",
    ] {
        assert_matches!(Tree::parse(text), Err(p) if !p.is_empty());
    }
}

/// Files of the largest size that produce as much work as possible; the bound of the reports keeps memory in check.
#[test]
fn large_faulty_files_end_with_bounded_reports() {
    let size = sesamewing::settings::FILE_MAX;
    let fill = |head: &str, unit: &str| {
        let mut text = head.to_owned();
        while text.len() + unit.len() < size {
            text += unit;
        }
        text
    };
    let numbered = |head: &str, indent: &str, value: &str| {
        let mut text = head.to_owned();
        for i in 0.. {
            let line = format!("{indent}k{i}: {value}\n");
            if text.len() + line.len() >= size {
                return text;
            }
            text += &line;
        }
        text
    };
    for text in [
        numbered("defaults:\n", "  ", "1"),
        numbered("defaults:\n", "  limit.rat", "1"),
        numbered("regions:\n", "  ", "1"),
        numbered("regions:\n", "  ", "{x: 1}"),
        numbered("", "", "1"),
        fill("defaults:\n", "  a: 1\n"),
        fill("a: ", "? "),
        fill("a: ", "- "),
        fill("a: [", "x, "),
        fill("a: \"", "x\n"),
        fill("a: \"", "\\u0041"),
        fill("a: |\n", " \n"),
        fill("a: ", "x\n "),
        fill("", "%a\n"),
        fill("a", ": a"),
        fill("", "!"),
    ] {
        let found = Tree::parse(&text).expect_err("refused");
        assert!(!found.is_empty() && found.len() <= 1001, "{}", found.len());
    }
}

fn option() -> impl Strategy<Value = (&'static str, &'static str)> {
    let specs: Vec<_> = OPTIONS
        .iter()
        .filter(|s| s.level >= sesamewing::settings::Level::Service)
        .map(|s| (s.key, if s.max.is_empty() { s.default } else { s.max }))
        .collect();
    prop::sample::select(specs)
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(s in "\\PC{0,300}", t in "[a-z:{}\\[\\]&*!|>'\"#, \n-]{0,300}") {
        let _ = Tree::parse(&s);
        let _ = Tree::parse(&format!("regions: {t}"));
        let _ = Tree::parse(&format!("{TREE}{t}"));
    }

    #[test]
    fn damaged_trees_never_panic(at in 0..TREE.len(), with in "[ -~\n]{0,4}") {
        let mut text = TREE.to_owned();
        text.replace_range(at..=at, &with);
        let _ = Tree::parse(&text);
    }

    #[test]
    fn trees_round_trip(options in prop::collection::btree_map(option().prop_map(|o| o.0), "[ -~é\n\t]{0,12}", 0..5)) {
        let mut tree = Tree::default();
        tree.nodes.insert(NodePath::Root, options.into_iter().map(|(k, v)| (k.to_owned(), v)).collect());
        let text = tree.to_yaml();
        // Values may be refused, but each one must be read as it was written.
        let back = Tree::parse(&text);
        match back {
            Ok(back) => prop_assert_eq!(&back.nodes, &tree.nodes),
            Err(found) => prop_assert!(found.iter().all(|p| p.key.starts_with("/ ")), "{:?}\n{}", found, text),
        }
    }
}
