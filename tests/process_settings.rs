//! Process settings from YAML: every mistake is reported with line, key and remedy.

use std::{fs, path::Path};

use assert_matches::assert_matches;
use proptest::prelude::*;
use sesamewing::{
    base::{Percent, Rate, Size},
    process::{Fencing, ProcessSettings},
    settings::Problem,
    wire::Role,
};

const ENTRY: &str = "\
name: east-a-entry-1
region: east
zone: east-a
peer: 127.0.0.1:7000
operator: 127.0.0.1:7001
callers: 127.0.0.1:7002
platform: http://127.0.0.1:7100
tls: {authority: ca.pem, certificate: node.pem, key: /etc/node.key}
";

const AGENT: &str = "\
name: east-a-agent-1
region: east
zone: east-a
peer: 127.0.0.1:7000
operator: 127.0.0.1:7001
guard: 127.0.0.1:7003
platform: http://127.0.0.1:7100
tls: {authority: ca.pem, certificate: node.pem, key: node.key}
endpoint:
  kind: engine
  address: http://127.0.0.1:7200
  service: drafts
  fencing: checked
links: {down: 20Mbit/s, up: 10Mbit/s, memory: 512MB}
";

fn parse(text: &str, role: Role) -> Result<ProcessSettings, Vec<Problem>> {
    ProcessSettings::parse(text, Path::new("/conf"), role)
}

/// Replaces a line of a valid file and returns the problems as `line key`.
fn problems(text: &str, from: &str, to: &str, role: Role) -> Vec<String> {
    assert!(text.contains(from), "{from}");
    let found = parse(&text.replace(from, to), role).expect_err("must be refused");
    for p in &found {
        assert!(!p.reason.is_empty() && !p.remedy.is_empty(), "{p:?}");
    }
    found
        .iter()
        .map(|p| format!("{} {}", p.line, p.key))
        .collect()
}

#[test]
fn valid_files_are_read() {
    let s = parse(ENTRY, Role::Entry).expect("valid");
    assert_eq!(s.callers, Some("127.0.0.1:7002".parse().expect("address")));
    assert_eq!(s.tls.authority, Path::new("/conf/ca.pem"));
    assert_eq!(s.tls.key, Path::new("/etc/node.key"));
    let s = parse(AGENT, Role::Agent).expect("valid");
    assert_eq!(s.links.up, Rate(1_250_000));
    assert_eq!(s.links.memory, Size(512_000_000));
    assert_eq!(s.links.weights, Percent(80));
    assert_eq!(s.endpoint.map(|e| e.fencing), Some(Fencing::Checked));
}

/// Guards against an operator API that is reachable for callers.
#[test]
fn operator_and_callers_must_differ() {
    let got = problems(
        ENTRY,
        "callers: 127.0.0.1:7002",
        "callers: 127.0.0.1:7001",
        Role::Entry,
    );
    assert_eq!(got, ["6 callers"]);
}

#[test]
fn each_mistake_names_line_and_key() {
    for (from, to, wanted) in [
        ("zone: east-a", "zone: east-a\nzome: x", "4 zome"),
        ("zone: east-a", "zone: 'a b'", "3 zone"),
        ("zone: east-a\n", "", "1 zone"),
        ("127.0.0.1:7000", "localhost:7000", "4 peer"),
        ("127.0.0.1:7000", "0.0.0.0:7000", "4 peer"),
        ("127.0.0.1:7000", "127.0.0.1:0", "4 peer"),
        ("http://127.0.0.1:7100", "127.0.0.1:7100", "7 platform"),
        ("key: /etc/node.key", "kye: /etc/node.key", "8 tls.key"),
        ("zone: east-a", "zone: {a: b}", "3 zone"),
        ("zone: east-a", "zone: east-a\nzone: east-b", "4 zone"),
        ("zone: east-a", "zone: &x east-a", "3 "),
        (
            "zone: east-a",
            "links: {down: 1Mbit/s}\nzone: east-a",
            "3 links",
        ),
    ] {
        let got = problems(ENTRY, from, to, Role::Entry);
        assert!(got.iter().any(|g| g == wanted), "{to}: {got:?}");
    }
    for (from, to, wanted) in [
        ("20Mbit/s", "20mbit/s", "14 links.down"),
        ("20Mbit/s", "20", "14 links.down"),
        ("kind: engine", "kind: motor", "10 endpoint.kind"),
        ("fencing: checked", "fencing: maybe", "13 endpoint.fencing"),
        (
            "guard: 127.0.0.1:7003",
            "callers: 127.0.0.1:7003",
            "6 callers",
        ),
        ("guard: 127.0.0.1:7003\n", "", "1 guard"),
        ("guard: 127.0.0.1:7003", "guard: 127.0.0.1:7001", "6 guard"),
    ] {
        let got = problems(AGENT, from, to, Role::Agent);
        assert!(got.iter().any(|g| g == wanted), "{to}: {got:?}");
    }
}

#[test]
fn a_mistyped_key_gets_a_hint() {
    let text = ENTRY.replace("operator:", "operater:");
    let found = parse(&text, Role::Entry).expect_err("refused");
    let hint = found.iter().find(|p| p.key == "operater").expect("named");
    assert!(hint.remedy.contains("`operator`"), "{hint:?}");
}

#[test]
fn load_names_the_file() {
    let dir = tempfile::tempdir().expect("folder");
    let file = dir.path().join("entry.yaml");
    fs::write(&file, ENTRY.replace("zone: east-a", "zone: ''")).expect("written");
    let text = ProcessSettings::load(&file, Role::Entry)
        .expect_err("refused")
        .to_string();
    assert!(text.contains("entry.yaml:3: zone: "), "{text}");
    fs::write(&file, b"name: \xff\n").expect("written");
    assert_matches!(ProcessSettings::load(&file, Role::Entry), Err(_));
    assert_matches!(
        ProcessSettings::load(&dir.path().join("none"), Role::Entry),
        Err(_)
    );
    fs::write(&file, ENTRY).expect("written");
    assert_matches!(ProcessSettings::load(&file, Role::Entry), Ok(_));
}

/// Guards against a parser that recurses or expands without bound.
#[test]
fn hostile_documents_are_refused() {
    let deep = "[".repeat(200_000);
    let wide = format!("a: &x [1]\nb: [{}]", "*x,".repeat(1000));
    let long = "#".repeat((4 << 20) + 1);
    for text in [
        deep.as_str(),
        &wide,
        &long,
        "",
        "a\n---\nb",
        "[a",
        "? {a: b}\n: c",
    ] {
        assert_matches!(parse(text, Role::Entry), Err(p) if !p.is_empty());
    }
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(s in "\\PC{0,200}", t in "[a-z:{}\\[\\]&*!|>'\"# \n-]{0,200}") {
        let _ = parse(&s, Role::Entry);
        let _ = parse(&t, Role::Agent);
        let _ = parse(&format!("{AGENT}{t}"), Role::Agent);
    }
}
