//! The plain service and the program.

use reqwest::Client;
use serde_json::{json, Value};
use sesamewing_standin::{certs::write_certs, Endpoint, EndpointOptions, Kind};

/// Guards against duplicate runs that no test would notice.
#[tokio::test]
async fn runs_are_counted_by_id() {
    let server = Endpoint::start(EndpointOptions {
        kind: Kind::Plain,
        ..EndpointOptions::default()
    })
    .await
    .expect("starts");
    let client = Client::new();
    for (id, expected) in [("a", 1), ("b", 1), ("a", 2)] {
        let req = client.post(format!("{}/tags/new", server.url()));
        let resp = req.header("Request-Id", id).body("12345").send().await;
        let receipt: Value = resp.expect("answer").json().await.expect("json");
        let expected = json!({
            "id": id, "runs": expected, "method": "POST", "path": "/tags/new", "size": 5,
        });
        assert_eq!(receipt, expected);
    }
    let resp = client.get(format!("{}/runs", server.url())).send().await;
    let runs: Value = resp.expect("answer").json().await.expect("json");
    assert_eq!(runs, json!({"runs": {"a": 2, "b": 1}}));
}

/// Guards against certificates that the transport refuses.
#[tokio::test]
async fn certificates_fit_the_transport() {
    let dir = tempfile::tempdir().expect("directory");
    write_certs(dir.path(), &["one".to_owned()]).expect("written");
    let files = sesamewing::net::TlsFiles {
        authority: dir.path().join("ca.pem"),
        certificate: dir.path().join("one.pem"),
        key: dir.path().join("one.key"),
    };
    let listen = "127.0.0.1:0".parse().expect("address");
    sesamewing::net::Transport::bind(listen, files).expect("accepted");
}
