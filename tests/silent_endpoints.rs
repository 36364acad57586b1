//! Endpoints that are silent for a while and then go on with their response, or are silent for good.

mod gateway_support;

use gateway_support::{
    addr,
    gateway::{events, request, with_gateway, CALLERS},
    send_request, Step,
};

const LAST_CHUNK: &str = "0\r\n\r\n";

/// Pause in a stream that is longer than that after which another endpoint may continue it.
const LONG_PAUSE: u64 = 2000;

fn event(id: u64) -> Step {
    let event = format!("id: {id}\ndata: x\n\n");
    Step::Send(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Returns a script that sends an event, pauses and sends the rest of the stream.
fn paused_stream(pause: u64) -> Vec<Step> {
    let mut script = events(1..=1, "");
    let rest = [
        Step::Pause(pause),
        event(2),
        event(3),
        Step::Send(LAST_CHUNK.to_owned()),
    ];
    script.extend(rest);
    script
}

/// Guards against retries that are taken from the budget while no endpoint gets the request.
#[test]
fn paused_streams_take_no_retries() {
    with_gateway(vec![paused_stream(LONG_PAUSE)], |_| async move {
        send_request(addr(1, CALLERS), &request("/stream/x"), 3500).await;
        let metrics = "GET /metrics HTTP/1.0\r\n\r\n";
        let metrics = send_request(addr(1, 8005), metrics, 500).await;
        assert!(metrics.contains("retries_total 0\n"), "{metrics}");
    });
}
