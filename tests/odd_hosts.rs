//! Odd entries of the platform's list of hosts: the others hold.

use sesamewing::{
    backing::{HostList, HttpPlatform, PlatformError},
    wire::Hosts,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const GOOD: &str = r#"{"name":"NAME","role":"agent","region":"east","zone":"east-a","peer":"10.0.0.1:7000","operator":"10.0.0.1:7001","callers":null,"service":"llm","state":"live"}"#;

/// Reads the list from a server that sends `body`.
async fn read(body: Vec<u8>) -> Result<Hosts, PlatformError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut data = vec![0; 8192];
        let n = stream.read(&mut data).await.expect("a request");
        assert!(n > 0, "the connection was closed");
        let head = format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.expect("a response");
        stream.write_all(&body).await.expect("a response");
    });
    let hosts = HttpPlatform::new(&url).expect("a client").hosts().await;
    serving.abort();
    hosts
}

/// Guards against a list that is no longer followed because another writer left one odd entry in it.
#[tokio::test]
async fn odd_hosts_leave_the_others() {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        GOOD.replace("7001", "70010"),
        GOOD.replace("live", "gone"),
        GOOD.replace("\"east\"", "7"),
        GOOD.replace("\"region\":\"east\",", ""),
        GOOD.replace("null", "1e400"),
        GOOD.replace("null", &deep),
        GOOD.replacen('{', &format!("{{\"extra\":{deep},"), 1)
            .replace("agent", "?"),
        GOOD.replace("NAME", "\\ud800"),
        deep,
        "{}".to_owned(),
        "null".to_owned(),
        "1e400".to_owned(),
        "\"]}\"".to_owned(),
    ];
    let (a, z) = (GOOD.replace("NAME", "a-1"), GOOD.replace("NAME", "z-1"));
    for odd in odd {
        let text: String = odd.chars().take(80).collect();
        let body = format!(r#"{{"hosts":[{a}, {odd} ,{z}]}}"#);
        let hosts = read(body.into_bytes()).await;
        let hosts = hosts.unwrap_or_else(|e| panic!("{text}: {e}")).hosts;
        let names: Vec<_> = hosts.iter().map(|h| h.name.as_str()).collect();
        assert_eq!(names, ["a-1", "z-1"], "{text}");
    }
}

/// Guards against an empty list in place of an answer that is no list.
#[tokio::test]
async fn answers_without_a_list_are_malformed() {
    for body in ["", "{}", "[]", "null", r#"{"hosts":3}"#, r#"{"hosts":["#] {
        let hosts = read(body.into()).await;
        assert!(matches!(hosts, Err(PlatformError::Malformed(_))), "{body}");
    }
}
