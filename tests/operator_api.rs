//! Daemon start-up, the operator API and the reactions to signals, on real processes.

mod support;

use std::{net::TcpListener, process::Command};

use sesamewing::{
    observe::{ProcessStatus, RoleState},
    process::Phase,
    wire::Role,
};
use support::{Certificates, Daemon};

async fn get(url: &str) -> (u16, String) {
    let resp = reqwest::get(url).await.expect("an answer");
    (resp.status().as_u16(), resp.text().await.expect("a body"))
}

async fn post(url: &str) -> u16 {
    let resp = reqwest::Client::new().post(url).send().await;
    resp.expect("an answer").status().as_u16()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_answers_operators_and_drains() {
    let certs = Certificates::new();
    for role in [Role::Entry, Role::Agent] {
        let mut daemon = Daemon::start(role, &certs, "http://127.0.0.1:9");
        let base = daemon.operator();
        let (code, body) = get(&format!("{base}/status")).await;
        assert_eq!(code, 200);
        let status: ProcessStatus = serde_json::from_str(&body).expect("a status");
        assert_eq!(status.name.as_str(), daemon.name);
        assert_eq!(status.role, role);
        assert_eq!(status.phase, Phase::Serving);
        assert_eq!(status.status.state, RoleState::Starting);
        assert_eq!(status.service.is_some(), role == Role::Agent);
        // The platform is down, so nothing was ever confirmed.
        assert_eq!(status.confirmed_ms, None);
        let (code, body) = get(&format!("{base}/metrics")).await;
        assert_eq!(code, 200);
        assert!(body.contains("sesamewing_applied_offset 0"), "{body}");
        let (code, body) = get(&format!("{base}/timeline?from=0")).await;
        assert!(code == 200 && body.contains("SW800 started"), "{body}");
        let (code, body) = get(&format!("{base}/timeline?to=0")).await;
        assert_eq!((code, body.as_str()), (200, ""));
        assert_eq!(get(&format!("{base}/timeline?from=x")).await.0, 400);
        assert_eq!(get(&format!("{base}/timeline?request=x")).await.0, 400);
        assert_eq!(post(&format!("{base}/drain")).await, 202);
        assert_eq!(daemon.wait(), Some(0));
    }
}

/// A rotated certificate is read again on SIGHUP and on request; unusable files keep the old ones in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tls_files_are_reloaded() {
    let certs = Certificates::new();
    let mut daemon = Daemon::start(Role::Entry, &certs, "http://127.0.0.1:9");
    let base = daemon.operator();
    assert_eq!(post(&format!("{base}/reload")).await, 200);
    std::fs::write(certs.folder().join("node.pem"), "not a certificate").expect("written");
    assert_eq!(post(&format!("{base}/reload")).await, 500);
    daemon.signal("HUP");
    daemon.signal("TERM");
    assert_eq!(daemon.wait(), Some(0));
    let log = daemon.log();
    assert!(log.contains("SW811 tls-reloaded"), "{log}");
    assert_eq!(log.matches("SW812 tls-refused").count(), 2, "{log}");
    assert!(log.contains("SW801 signalled"), "{log}");
    assert!(!log.to_lowercase().contains("rocket"), "{log}");
}

#[test]
fn sigint_drains() {
    let certs = Certificates::new();
    let mut daemon = Daemon::start(Role::Agent, &certs, "http://127.0.0.1:9");
    daemon.signal("INT");
    assert_eq!(daemon.wait(), Some(0));
    assert!(daemon.log().contains("SW804 stopped"));
}

#[test]
fn options_and_files_are_checked() {
    let certs = Certificates::new();
    let (file, _) = support::settings(Role::Entry, &certs, "http://127.0.0.1:9");
    let path = file.to_str().expect("a path");
    let run = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_sesamewing-entry"))
            .args(args)
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&out.stdout).into_owned()
            + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), text)
    };
    assert_eq!(run(&["--check", "--config", path]).0, Some(0));
    assert_eq!(run(&["--help"]).0, Some(0));
    assert!(run(&["--version"]).1.contains("sesamewing-entry 0."));
    assert_eq!(run(&[]).0, Some(2));
    assert_eq!(run(&["--confg", path]).0, Some(2));
    assert_eq!(run(&["--config", path, "--log-level", "loud"]).0, Some(2));
    std::fs::remove_file(certs.folder().join("node.key")).expect("removed");
    let (code, text) = run(&["--check", "--config", path]);
    assert_eq!(code, Some(1));
    assert!(
        text.contains("node.key") && text.contains("`tls`"),
        "{text}"
    );
}

/// A taken operator address must end the program with a remedy instead of a daemon that nobody can ask.
#[test]
fn a_taken_operator_address_is_fatal() {
    let certs = Certificates::new();
    let (file, operator) = support::settings(Role::Entry, &certs, "http://127.0.0.1:9");
    let taken = TcpListener::bind(operator).expect("bound");
    let out = Command::new(env!("CARGO_BIN_EXE_sesamewing-entry"))
        .arg("--config")
        .arg(&file)
        .output()
        .expect("it runs");
    drop(taken);
    let log = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(1), "{log}");
    assert!(
        log.contains("SW803 failed") && log.contains("`operator`"),
        "{log}"
    );
}
