//! The operator program against a platform and processes inside the test.

mod support;

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
    sync::Arc,
};

use sesamewing::{
    base::event::EVENTS,
    observe::{RoleState, RoleStatus},
    process::Phase,
    wire::{HostEntry, HostState, Role},
};
use support::{free, node::Node, platform::Platform, Certificates};
use tempfile::TempDir;

const TREE: &str = "\
defaults: {limit: {rate: 100}}
regions:
  east:
    services:
      drafts:
        settings: {route.subset: 16}
        workspaces: {ws-1: {}, ws-2: {settings: {limit.rate: 7}}}
";

struct Operator {
    platform: Platform,
    folder: TempDir,
}

/// Exit code, standard output and standard error of a run.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

fn sesamewing(args: &[&str]) -> Run {
    let out = Command::new(env!("CARGO_BIN_EXE_sesamewing"))
        .args(args)
        .env_remove("SESAMEWING_PLATFORM")
        .output()
        .expect("it runs");
    Run {
        code: out.status.code().expect("an exit code"),
        out: String::from_utf8(out.stdout).expect("text"),
        err: String::from_utf8(out.stderr).expect("text"),
    }
}

impl Operator {
    async fn new() -> Self {
        Self {
            platform: Platform::start().await,
            folder: tempfile::tempdir().expect("folder"),
        }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.file(name), text).expect("written");
        self.path(name)
    }

    fn path(&self, name: &str) -> String {
        self.file(name).to_str().expect("a path").to_owned()
    }

    fn run(&self, args: &[&str]) -> Run {
        let mut all = args.to_vec();
        all.extend(["--platform", &self.platform.url]);
        sesamewing(&all)
    }

    /// Runs a command that must succeed and returns its output.
    fn ok(&self, args: &[&str]) -> String {
        let run = self.run(args);
        assert_eq!(run.code, 0, "{args:?} {run:?}");
        run.out
    }

    fn publish(&self, file: &str, author: &str) -> Run {
        self.run(&["publish", file, "--author", author])
    }

    /// Replaces text in a file.
    fn edit(&self, name: &str, from: &str, to: &str) {
        let text = fs::read_to_string(self.file(name)).expect("readable");
        assert!(text.contains(from), "{text}");
        fs::write(self.file(name), text.replace(from, to)).expect("written");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tree_is_published_shown_and_pulled() {
    let op = Operator::new().await;
    let file = op.write("tree.yaml", TREE);
    assert!(op
        .ok(&["diff", &file])
        .contains("+ /east/drafts/ws-2 limit.rate: 7"));
    let run = op.run(&[
        "publish",
        &file,
        "--author",
        "ada",
        "--message",
        "first tree",
    ]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("accepted at offset 1"), "{run:?}");
    let shown = op.ok(&["show", "/east/drafts/ws-2"]);
    let line = |key: &str| {
        let found = shown.lines().find(|l| l.starts_with(key));
        found
            .unwrap_or_default()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(
        line("limit.rate"),
        "limit.rate 7 /east/drafts/ws-2 1 ada (first tree)"
    );
    assert_eq!(
        line("route.subset"),
        "route.subset 16 /east/drafts 1 ada (first tree)"
    );
    assert_eq!(line("limit.weight"), "limit.weight 1 default");
    assert_eq!(op.run(&["show", "/west"]).code, 1);
    assert!(op.ok(&["diff", &file]).contains("no change"));
    let run = op.publish(&file, "ada");
    assert!(run.code == 0 && run.out.contains("no change"), "{run:?}");
    let pulled = op.path("pulled.yaml");
    op.ok(&["pull", &pulled]);
    assert!(fs::read_to_string(&pulled)
        .expect("text")
        .starts_with("revision: 1\n"));
    assert_eq!(
        op.run(&["pull", &pulled]).code,
        1,
        "a file is not overwritten"
    );
    assert!(op.ok(&["diff", &pulled]).contains("no change"));
    assert_eq!(op.platform.appends(), 1);
}

/// Two operators start from one pulled tree: changes of different nodes both hold, the second change of one node is a
/// conflict that names both, and no accepted change is reverted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_changes_merge_or_conflict() {
    let op = Operator::new().await;
    let file = op.write("tree.yaml", TREE);
    assert_eq!(op.publish(&file, "ada").code, 0);
    for name in ["a.yaml", "b.yaml", "c.yaml", "d.yaml"] {
        op.ok(&["pull", &op.path(name)]);
    }
    op.edit("a.yaml", "limit.rate: 7", "limit.rate: 8");
    assert_eq!(op.publish(&op.path("a.yaml"), "ann").code, 0);
    // Another node than the first change.
    op.edit(
        "b.yaml",
        "ws-1:\n            settings: {}",
        "ws-1:\n            settings: {limit.rate: 5}",
    );
    let run = op.publish(&op.path("b.yaml"), "bob");
    assert_eq!(run.code, 0, "{run:?}");
    assert!(!run.out.contains("ws-2"), "{run:?}");
    // The same node as the first change.
    op.edit("c.yaml", "limit.rate: 7", "limit.rate: 9");
    assert!(op.ok(&["diff", &op.path("c.yaml")]).contains("! conflict"));
    let before = op.platform.appends();
    let run = op.publish(&op.path("c.yaml"), "cid");
    assert_eq!(run.code, 4, "{run:?}");
    assert!(
        run.err.contains("ann") && run.err.contains("cid"),
        "{run:?}"
    );
    assert_eq!(
        op.platform.appends(),
        before,
        "a known conflict is not appended"
    );
    // A change below an ancestor that was changed meanwhile: the inherited values differ.
    op.ok(&["pull", &op.path("e.yaml")]);
    op.edit("e.yaml", "limit.rate: 100", "limit.rate: 101");
    assert_eq!(op.publish(&op.path("e.yaml"), "eve").code, 0);
    op.edit(
        "d.yaml",
        "ws-1:\n            settings: {}",
        "ws-1:\n            settings: {limit.weight: 2}",
    );
    let run = op.run(&["publish", &op.path("d.yaml"), "--author", "dan", "--json"]);
    assert_eq!(run.code, 4, "{run:?}");
    let json: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(json["conflicts"][0]["winner"], "eve");
    let shown = op.ok(&["show", "/east/drafts/ws-2"]);
    assert!(
        shown
            .lines()
            .any(|l| l.starts_with("limit.rate") && l.contains(" 8 ")),
        "{shown}"
    );
}

/// Operators who publish the same node at the same moment: the log's order lets exactly one change through.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_many_simultaneous_changes_is_accepted() {
    let op = Operator::new().await;
    assert_eq!(op.publish(&op.write("tree.yaml", TREE), "ada").code, 0);
    let files: Vec<_> = (0..8)
        .map(|n| {
            op.write(
                &format!("{n}.yaml"),
                &format!("revision: 1\n{TREE}").replace("rate: 100", &format!("rate: {}", 200 + n)),
            )
        })
        .collect();
    let codes: Vec<i32> = std::thread::scope(|s| {
        let runs: Vec<_> = files
            .iter()
            .map(|f| s.spawn(|| op.publish(f, f.rsplit('/').next().unwrap_or("x")).code))
            .collect();
        runs.into_iter()
            .map(|r| r.join().expect("it ran"))
            .collect()
    });
    assert_eq!(codes.iter().filter(|c| **c == 0).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|c| **c == 4).count(), 7, "{codes:?}");
}

/// A removal must not take away a workspace that was added below it after the pull.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removal_of_an_unseen_child_conflicts() {
    let op = Operator::new().await;
    assert_eq!(op.publish(&op.write("tree.yaml", TREE), "ada").code, 0);
    op.ok(&["pull", &op.path("add.yaml")]);
    op.edit(
        "add.yaml",
        "ws-1:",
        "ws-3:\n            settings: {}\n          ws-1:",
    );
    assert_eq!(op.publish(&op.path("add.yaml"), "ann").code, 0);
    let remove = op.write(
        "remove.yaml",
        "revision: 1\ndefaults: {limit: {rate: 100}}\nregions: {east: {}}\n",
    );
    let run = op.publish(&remove, "bob");
    assert_eq!(run.code, 4, "{run:?}");
    assert!(
        run.err.contains("ws-3") && run.err.contains("ann"),
        "{run:?}"
    );
    let ahead = op.write("ahead.yaml", "revision: 99\nregions: {}\n");
    assert_eq!(
        op.publish(&ahead, "bob").code,
        1,
        "a revision of another deployment"
    );
    let fresh = op.write(
        "fresh.yaml",
        "defaults: {limit: {rate: 100}}\nregions: {east: {}}\n",
    );
    assert_eq!(op.publish(&fresh, "bob").code, 0);
    assert_eq!(op.run(&["show", "/east/drafts"]).code, 1);
}

/// The platform's answer is lost and the record is not yet readable; it is appended again and applies once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_publishes_once() {
    let op = Operator::new().await;
    op.platform.lose();
    let run = op.publish(&op.write("tree.yaml", TREE), "ada");
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("accepted at offset 1"), "{run:?}");
    assert_eq!(op.platform.appends(), 2);
    let shown = op.ok(&["show", "/east/drafts", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&shown).expect("JSON");
    assert_eq!(json["values"]["route.subset"]["revision"], 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_trees_are_refused_before_any_append() {
    let op = Operator::new().await;
    let file = op.write("tree.yaml", &TREE.replace("rate: 100", "rate: many"));
    for command in ["check", "diff", "publish"] {
        let mut args = vec![command, &file];
        if command == "publish" {
            args.extend(["--author", "ada"]);
        }
        let run = op.run(&args);
        assert_eq!(run.code, 1, "{run:?}");
        assert!(run.err.contains("tree.yaml:1: / limit.rate: "), "{run:?}");
    }
    let run = op.run(&["check", &file, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(json["problems"][0]["line"], 1);
    assert_eq!(op.platform.appends(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_names_who_has_caught_up() {
    let (op, certs) = (Operator::new().await, Certificates::new());
    let fast = Node::start("fast", &op.platform, &certs, true).await;
    op.ok(&["status"]);
    let file = op.write("tree.yaml", TREE);
    let wait = ["publish", &file, "--author", "ada", "--wait", "20"];
    assert!(op
        .ok(&wait)
        .contains("1 of 1 processes have applied offset 1"));
    let _slow = Node::start("slow", &op.platform, &certs, false).await;
    let gone = HostEntry {
        name: "gone".parse().expect("a name"),
        operator: free(),
        state: HostState::Live,
        role: Role::Agent,
        ..fast.host_entry()
    };
    op.platform.list(gone);
    let run = op.run(&["status"]);
    assert_eq!(run.code, 5, "{run:?}");
    let row = |name: &str| {
        run.out
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or_default()
    };
    assert!(
        row("slow").contains("1 records behind, last applied"),
        "{run:?}"
    );
    assert!(
        row("gone").contains("unreachable: no connection"),
        "{run:?}"
    );
    assert!(
        run.out
            .contains("1 of 3 processes have applied offset 1; waiting for gone, slow"),
        "{run:?}"
    );
    let run = op.run(&["status", "--json", "--offset", "0"]);
    let json: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(json["unreachable"], 1);
    assert_eq!(json["processes"][2]["caught_up"], true);
    op.edit("tree.yaml", "rate: 100", "rate: 101");
    let run = op.run(&["publish", &file, "--author", "ada", "--wait", "0"]);
    assert_eq!(run.code, 5, "accepted, but not everywhere: {run:?}");
    assert!(run.err.contains("accepted at offset 2"), "{run:?}");
}

/// What an operator needs during a rollout: versions and chunks of each agent, alarms, and the end of a watch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_rollouts_and_alarms() {
    let (op, certs) = (Operator::new().await, Certificates::new());
    let node = Node::start("agent-1", &op.platform, &certs, true).await;
    node.ctx.status.store(Arc::new(RoleStatus {
        state: RoleState::Serving,
        version: Some("v7".parse().expect("a name")),
        chunks: Some((3, 9)),
        running: 4,
        alarms: vec!["SW601 origin-silent".to_owned()],
    }));
    let out = op.ok(&["status"]);
    let row = out
        .lines()
        .find(|l| l.starts_with("agent-1"))
        .expect("a row");
    for wanted in ["serving", "v7", "3/9", "4", "alarm: SW601 origin-silent"] {
        assert!(row.contains(wanted), "{row}");
    }
    let url = op.platform.url.clone();
    let watch = std::thread::spawn(move || {
        sesamewing(&["status", "--offset", "1", "--watch", "--platform", &url])
    });
    assert_eq!(op.publish(&op.write("tree.yaml", TREE), "ada").code, 0);
    let run = watch.join().expect("it ran");
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("1 of 1 processes have applied offset 1"),
        "{run:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_reaches_the_named_process() {
    let (op, certs) = (Operator::new().await, Certificates::new());
    let node = Node::start("east-a-1", &op.platform, &certs, false).await;
    let run = op.run(&["drain", "east-a-2"]);
    assert_eq!(run.code, 1, "{run:?}");
    assert!(run.err.contains("did you mean `east-a-1`?"), "{run:?}");
    assert_eq!(node.ctx.phase(), Phase::Serving);
    op.ok(&["drain", "east-a-1"]);
    assert_eq!(node.ctx.phase(), Phase::Draining);
    assert!(op.run(&["status"]).out.contains("draining"));
    node.api.stop().await;
    assert_eq!(op.run(&["drain", "east-a-1"]).code, 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timeline_merges_all_processes() {
    let (op, certs) = (Operator::new().await, Certificates::new());
    let a = Node::start("a", &op.platform, &certs, false).await;
    let b = Node::start("b", &op.platform, &certs, false).await;
    let event = EVENTS.iter().find(|e| e.number == 800).expect("registered");
    let id = sesamewing::base::RequestId::now();
    for (node, text) in [(&a, "one"), (&b, "two"), (&a, "three")] {
        node.ctx.timeline.record(event, id, text);
    }
    a.ctx
        .timeline
        .record(event, sesamewing::base::RequestId::now(), "other");
    let svg = op.path("line.svg");
    let out = op.ok(&["timeline", "--request", &id.to_string(), "--svg", &svg]);
    assert_eq!(out.matches("SW800 started").count(), 3, "{out}");
    assert!(!out.contains("other"), "{out}");
    let drawing = fs::read_to_string(svg).expect("drawn");
    assert!(drawing.contains("started: three"), "{drawing}");
    assert!(op.ok(&["timeline"]).contains("other"));
    assert_eq!(op.run(&["timeline", "--request", "x"]).code, 2);
    assert_eq!(
        op.run(&["timeline", "--request", &id.to_string(), "--rollout", "v"])
            .code,
        2
    );
    b.api.stop().await;
    let run = op.run(&["timeline"]);
    assert!(
        run.code == 3 && run.out.contains("! b: no connection"),
        "{run:?}"
    );
}

#[test]
fn usage_and_unreachable_platforms_have_their_codes() {
    assert_eq!(sesamewing(&[]).code, 2);
    assert_eq!(sesamewing(&["--help"]).code, 0);
    assert_eq!(sesamewing(&["--version"]).code, 0);
    let run = sesamewing(&["statsu"]);
    assert!(
        run.code == 2 && run.err.contains("did you mean `status`?"),
        "{run:?}"
    );
    assert_eq!(sesamewing(&["status"]).code, 2);
    assert_eq!(sesamewing(&["status", "extra"]).code, 2);
    assert_eq!(sesamewing(&["status", "--platform", "x"]).code, 2);
    assert_eq!(sesamewing(&["publish", "f"]).code, 2);
    let closed = format!("http://{}", free());
    let run = sesamewing(&["status", "--platform", &closed, "--json"]);
    assert_eq!(run.code, 3, "{run:?}");
    let json: serde_json::Value = serde_json::from_str(&run.out).expect("JSON");
    assert_eq!(json["code"], 3);
    assert_eq!(sesamewing(&["check", "/nonexistent"]).code, 1);
    for command in [
        "check", "diff", "explain", "publish", "pull", "show", "status", "drain", "timeline",
        "options", "events",
    ] {
        let run = sesamewing(&[command, "--help"]);
        assert!(
            run.code == 0 && run.out.contains("--json"),
            "{command} {run:?}"
        );
    }
}

/// The pages hold the tables that the program prints; run `scripts/catalogue` after a change of options or events.
#[test]
fn catalogues_are_printed() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    for (command, page) in [("options", "settings.md"), ("events", "events.md")] {
        let table = sesamewing(&[command]).out;
        let page = fs::read_to_string(docs.join(page)).expect("a page");
        assert!(
            page.contains(&table),
            "docs differ from `sesamewing {command}`"
        );
        let list = sesamewing(&[command, "--json"]).out;
        let list: serde_json::Value = serde_json::from_str(&list).expect("JSON");
        assert!(list.as_array().is_some_and(|l| !l.is_empty()));
    }
}
