//! The gateway over real sockets: guarantees to callers when endpoints fail.

mod gateway_support;

use gateway_support::{
    addr,
    gateway::{arrivals, events, refusal, request, respond, with_gateway, CALLERS},
    header, send_request, Step,
};
use sesamewing::base::Millis;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Guards against a non-idempotent request that is retried after its response was lost, or that is reported as "not
/// run".
#[test]
fn lost_non_idempotent_requests_are_not_repeated() {
    with_gateway(vec![Vec::new(), Vec::new()], |seen| async move {
        let res = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(res.starts_with("HTTP/1.1 502"), "{res}");
        assert_eq!(arrivals(&seen), 1);
    });
}

/// Guards against an error to the caller although another endpoint could serve an idempotent request.
#[test]
fn lost_idempotent_requests_are_repeated() {
    let scripts = vec![Vec::new(), respond("200 OK", "yes")];
    with_gateway(scripts, |_| async move {
        for _ in 0..6 {
            let res = send_request(addr(1, CALLERS), &request("/safe/x"), 2000).await;
            assert!(
                res.starts_with("HTTP/1.1 200") && res.ends_with("yes"),
                "{res}"
            );
            assert_eq!(header(&res, "x-endpoint-proof").as_deref(), Some("p"));
        }
    });
}

/// Guards against a rejection without `Retry-After`, and against the caller's key reaching an endpoint.
#[test]
fn rejections_have_retry_after() {
    with_gateway(vec![refusal(), refusal()], |seen| async move {
        let res = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(res.starts_with("HTTP/1.1 503"), "{res}");
        let wait: f64 = header(&res, "retry-after")
            .and_then(|v| v.parse().ok())
            .expect("a Retry-After header");
        assert!(wait > 0.05 && wait < 3.0, "{wait}");
        let requests = seen.iter().flat_map(|s| s.requests.borrow().clone());
        for text in requests {
            assert_eq!(header(&text, "x-workspace-key"), None);
            assert_eq!(header(&text, "x-workspace").as_deref(), Some("w"));
            assert!(text.ends_with("hi"), "{text}");
        }
    });
}

/// Guards against forwarding a response with the id of another request.
#[test]
fn mismatched_responses_are_dropped() {
    let other = respond("200 OK", "other").into_iter().map(|s| match s {
        Step::Send(text) => Step::Send(text.replace("{id}", "r2")),
        s => s,
    });
    with_gateway(vec![other.collect()], |_| async move {
        let res = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    });
}

/// Guards against reporting "not run" for a 503 response without the endpoint's "not run" header.
#[test]
fn unmarked_refusals_count_as_lost() {
    with_gateway(vec![respond("503 No", "")], |_| async move {
        let res = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    });
}

/// Guards against a stream with a gap, a duplicate or a partial event after its endpoint failed.
#[test]
fn cut_streams_continue_elsewhere() {
    let cut = events(1..=2, "9\r\nid: 3\ndat\r\n");
    let scripts = vec![cut, events(3..=5, "0\r\n\r\n")];
    with_gateway(scripts, |seen| async move {
        // Only the first endpoint's script begins a stream at its first event.
        let mut tries = 0;
        while seen[0].requests.borrow().is_empty() && tries < 20 {
            let res = send_request(addr(1, CALLERS), &request("/stream/x"), 2500).await;
            tries += 1;
            if seen[0].requests.borrow().is_empty() {
                continue;
            }
            let ids: Vec<_> = res.matches("\nid: ").collect();
            assert_eq!(ids.len(), 5, "{res}");
            assert!(
                res.contains("id: 3\ndata: x\n\n") && res.ends_with("0\r\n\r\n"),
                "{res}"
            );
        }
        let resumed = seen[1]
            .requests
            .borrow()
            .last()
            .cloned()
            .unwrap_or_default();
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("2"));
    });
}

/// Guards against a stream that looks complete although its endpoint failed and none could continue it.
#[test]
fn cut_streams_do_not_look_complete() {
    with_gateway(vec![events(1..=2, "")], |_| async move {
        let res = send_request(addr(1, CALLERS), &request("/stream/x"), 3500).await;
        assert!(res.contains("id: 2\n"), "{res}");
        assert!(!res.ends_with("0\r\n\r\n"), "{res}");
    });
}

/// Guards against an endpoint that keeps running a request whose caller disconnected before the first byte.
#[test]
fn disconnected_callers_end_their_requests() {
    with_gateway(vec![vec![Step::AwaitClose]], |seen| async move {
        let mut caller = TcpStream::connect(addr(1, CALLERS))
            .await
            .expect("a connection");
        let text = request("/safe/x");
        caller
            .write_all(text.as_bytes())
            .await
            .expect("the request is sent");
        while seen[0].requests.borrow().is_empty() {
            tokio::time::sleep(Millis(5).duration()).await;
        }
        drop(caller);
        let mut waited = 0;
        while seen[0].closed.get() == 0 && waited < 500 {
            tokio::time::sleep(Millis(10).duration()).await;
            waited += 10;
        }
        assert_eq!(seen[0].closed.get(), 1);
    });
}

/// Guards against wrong status codes for requests that the entry rejects, and against their reaching an endpoint.
#[test]
fn unknown_routes_and_keys_are_rejected() {
    with_gateway(vec![respond("200 OK", "yes")], |seen| async move {
        let status = |text: String| async move {
            let res = send_request(addr(1, CALLERS), &text, 1000).await;
            res.get(9..12).unwrap_or_default().to_owned()
        };
        assert_eq!(status(request("/none/x")).await, "404");
        let key = request("/once/x").replace("X-Workspace-Key: key", "X-Workspace-Key: no");
        assert_eq!(status(key).await, "401");
        assert_eq!(arrivals(&seen), 0);
    });
}

/// Guards against requests that are missing from the metrics.
#[test]
fn metrics_count_requests() {
    with_gateway(vec![respond("200 OK", "yes")], |_| async move {
        send_request(addr(1, CALLERS), &request("/once/x"), 1000).await;
        send_request(addr(1, CALLERS), &request("/none/x"), 1000).await;
        let text = send_request(addr(1, 8005), "GET /metrics HTTP/1.0\r\n\r\n", 500).await;
        let served = "requests_total{service=\"plain\",status=\"200\",reason=\"endpoint\"} 1";
        assert!(text.contains(served), "{text}");
        assert!(text.contains("reason=\"no-route\"} 1"), "{text}");
    });
}

/// Guards against a directory response without the ready entry's address.
#[test]
fn directory_lists_this_entry() {
    with_gateway(Vec::new(), |_| async move {
        let text = "GET /where?name=h.example&zone=a HTTP/1.0\r\n\r\n";
        let res = send_request(addr(1, 8003), text, 500).await;
        let own = format!("\"addresses\":[\"{}\"]", addr(1, CALLERS));
        assert!(res.contains(&own) && res.contains("\"ttl_s\":1"), "{res}");
    });
}
