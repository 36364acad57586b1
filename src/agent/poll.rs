//! Polls the endpoint for its state and the prefixes that it cached.

use std::sync::Arc;

use super::{board::Board, event::ENDPOINT_SILENT};
use crate::{
    base::Millis,
    endpoint::{Endpoint, EndpointError},
};

/// Time between two status calls.
const STATUS_INTERVAL: Millis = Millis(200);

/// Time between two calls for cached prefixes.
const CACHE_INTERVAL: Millis = Millis(500);

/// Silent status calls in a row after which the endpoint counts as dead; one may be lost on a busy host.
const SILENT_MAX: u32 = 2;

/// Keeps the endpoint's state on the board until the task is dropped.
pub(super) async fn poll<E: Endpoint>(endpoint: E, board: Arc<Board>) {
    tokio::join!(status(&endpoint, &board), cache(&endpoint, &board));
}

async fn status<E: Endpoint>(endpoint: &E, board: &Board) {
    let mut silent = 0;
    loop {
        match endpoint.status().await {
            Ok(status) => {
                silent = 0;
                board.set_endpoint(Some(status));
                board.clear(&ENDPOINT_SILENT);
            }
            Err(e) => {
                silent += 1;
                if silent >= SILENT_MAX || matches!(e, EndpointError::NotSent(_)) {
                    board.set_endpoint(None);
                    board.raise(&ENDPOINT_SILENT, &e.to_string());
                }
            }
        }
        tokio::time::sleep(STATUS_INTERVAL.duration()).await;
    }
}

async fn cache<E: Endpoint>(endpoint: &E, board: &Board) {
    let mut from = 0;
    loop {
        if let Ok(events) = endpoint.cache_events(from).await {
            from = events.next;
            board.add_prefixes(&events.prefixes);
        }
        tokio::time::sleep(CACHE_INTERVAL.duration()).await;
    }
}
