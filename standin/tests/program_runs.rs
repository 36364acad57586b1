//! The program `sesamewing-standin`.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Output, Stdio},
};

use sesamewing::{
    backing::{HttpPlatform, WeightStore},
    weights::Manifest,
};

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn command(args: &[&str]) -> Command {
    let mut c = Command::new(env!("CARGO_BIN_EXE_sesamewing-standin"));
    c.args(args);
    c
}

fn output(args: &[&str]) -> Output {
    command(args).output().expect("runs")
}

/// Starts a server and returns its address.
fn serve(args: &[&str]) -> (Process, String) {
    let child = command(args).stdout(Stdio::piped()).spawn();
    let mut p = Process(child.expect("starts"));
    let mut line = String::new();
    let out = p.0.stdout.take().expect("stdout");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let addr = line.strip_prefix("listening ").expect("address").trim();
    (p, addr.to_owned())
}

/// Guards against servers that scripts can neither find nor end, and against uploads that no agent can read.
#[tokio::test]
async fn servers_print_their_address_and_end_on_sigterm() {
    let (mut platform, addr) = serve(&["platform", "--listen", "127.0.0.1:0"]);
    let url = format!("http://{addr}");
    let args = ["--version", "v1", "--size", "100kB", "--seed", "3"];
    let out = output(&[&["put-weights", "--platform", &url][..], &args[..]].concat());
    let line = String::from_utf8(out.stdout).expect("text");
    let field = |name: &str| {
        let mut fields = line.split_whitespace();
        fields.find_map(|f| f.strip_prefix(name).map(str::to_owned))
    };
    let id = field("manifest=").expect("manifest").parse().expect("hash");
    let store = HttpPlatform::new(&url).expect("client");
    let data = store.manifest(id).await.expect("manifest");
    let manifest = Manifest::decode(&data, id).expect("valid");
    assert_eq!(field("whole="), Some(manifest.whole.to_string()));
    assert_eq!(field("chunks="), Some("2".to_owned()));
    let (mut endpoint, _) = serve(&["endpoint", "--listen", "127.0.0.1:0", "--kind", "plain"]);
    for p in [&mut platform, &mut endpoint] {
        let mut kill = Command::new("kill");
        kill.args(["-TERM", &p.0.id().to_string()]);
        assert!(kill.status().expect("runs").success());
        assert!(p.0.wait().expect("ends").success());
    }
}

/// Guards against mistakes on the command line that have no message.
#[test]
fn command_line_mistakes_are_named() {
    for (args, text) in [
        (&["platfrom"][..], "platfrom"),
        (&["platform"], "--listen"),
        (
            &["endpoint", "--listen", "127.0.0.1:0", "--kind", "gpu"],
            "engine",
        ),
        (
            &["platform", "--listen", "127.0.0.1:0", "--origin-rate", "20"],
            "origin-rate",
        ),
    ] {
        let out = output(args);
        assert!(!out.status.success());
        let err = String::from_utf8(out.stderr).expect("text");
        assert!(err.contains(text), "{err}");
    }
    assert!(output(&["endpoint", "--help"]).status.success());
}
