//! The weight store and the host list of the platform.

use std::{collections::HashSet, time::Instant};

use assert_matches::assert_matches;
use futures_util::future::join_all;
use sesamewing::{
    backing::{HostList, HttpPlatform, PlatformError, WeightStore},
    base::{Digest, Millis, Percent, Rate, Size},
    weights::Manifest,
    wire::HostEntry,
};
use sesamewing_standin::{
    weights::{put_weights, Recipe},
    Platform, PlatformOptions,
};

fn recipe(seed: u64) -> Recipe {
    Recipe {
        version: "v1".parse().expect("name"),
        size: Size(400_000),
        chunk: Size(65_536),
        seed,
        base: None,
    }
}

/// Guards against a link whose rate grows with the number of readers, which would hide a slow distribution.
#[tokio::test]
async fn readers_share_the_origin_rate() {
    let server = Platform::start(PlatformOptions {
        rate: Rate(1_000_000),
        ..PlatformOptions::default()
    })
    .await
    .expect("starts");
    let store = HttpPlatform::new(&server.url()).expect("client");
    let (manifest, id) = put_weights(&server.url(), &recipe(7))
        .await
        .expect("upload");
    let start = Instant::now();
    let found = store.manifest(id).await.expect("manifest");
    assert_eq!(Manifest::decode(&found, id), Ok(manifest.clone()));
    let chunks = join_all(manifest.chunks.iter().map(|c| store.chunk(*c))).await;
    let mut whole = Vec::new();
    for (hash, chunk) in manifest.chunks.iter().zip(chunks) {
        let chunk = chunk.expect("chunk");
        assert_eq!(Digest::of(&chunk), *hash);
        whole.extend_from_slice(&chunk);
    }
    assert_eq!(Digest::of(&whole), manifest.whole);
    // 0.4 s at the full rate, less the 20 ms that the bucket holds.
    assert!(start.elapsed() >= Millis(380).duration());
    let url = format!("{}/weights/chunks/{}", server.url(), manifest.chunks[0]);
    let client = reqwest::Client::new();
    let named = client.get(&url).header("Sesamewing-Region", "east");
    for read in [named, client.get(format!("{url}?region=west"))] {
        let resp = read.send().await.expect("answer");
        resp.bytes().await.expect("body");
    }
    let stats = client.get(format!("{}/stats", server.url())).send().await;
    let stats: serde_json::Value = stats.expect("stats").json().await.expect("json");
    let first = manifest.chunks[0].to_string();
    let total = 400_000 + 2 * 65_536 + found.len();
    assert_eq!(stats["origin"]["total"], total);
    assert_eq!(stats["origin"]["chunks"][first], 3 * 65_536);
    let regions = serde_json::json!({"east": 65_536, "west": 65_536});
    assert_eq!(stats["origin"]["regions"], regions);
}

/// Guards against a store that serves content under a foreign hash.
#[tokio::test]
async fn content_must_match_its_hash() {
    let server = Platform::start(PlatformOptions::default())
        .await
        .expect("starts");
    let id = Digest::of(b"right");
    let url = format!("{}/weights/chunks/{id}", server.url());
    let put = reqwest::Client::new().put(url).body("wrong").send().await;
    assert_eq!(put.expect("answer").status(), 422);
    let store = HttpPlatform::new(&server.url()).expect("client");
    assert_matches!(store.chunk(id).await, Err(PlatformError::Missing(_)));
}

/// Guards against generated versions that share too much or too little with their base.
#[test]
fn changed_share_of_chunks() {
    let next = Recipe {
        base: Some((7, Percent(30))),
        ..recipe(8)
    };
    let hashes = |r: &Recipe| -> HashSet<_> { r.content().chunks(1000).map(Digest::of).collect() };
    let small = |r: Recipe| Recipe {
        size: Size(100_000),
        chunk: Size(1000),
        ..r
    };
    let (old, new) = (hashes(&small(recipe(7))), hashes(&small(next)));
    assert_eq!((old.len(), new.len()), (100, 100));
    assert_eq!(old.intersection(&new).count(), 70);
}

/// Guards against a host list that shows changes at once, which no real one does.
#[tokio::test]
async fn host_list_lags() {
    let lag = Millis(200);
    let server = Platform::start(PlatformOptions {
        lag,
        ..PlatformOptions::default()
    })
    .await
    .expect("starts");
    let list = HttpPlatform::new(&server.url()).expect("client");
    let entry: HostEntry = serde_json::from_value(serde_json::json!({
        "name": "east-1", "role": "agent", "region": "east", "zone": "east-a", "peer": "127.0.0.1:7000",
        "operator": "127.0.0.1:7001", "callers": null, "service": "drafts", "state": "live",
    }))
    .expect("entry");
    for present in [true, false] {
        let start = Instant::now();
        match present {
            true => list.announce(&entry).await.expect("announced"),
            false => list.remove(&entry.name).await.expect("removed"),
        }
        while list.hosts().await.expect("list").hosts.contains(&entry) != present {}
        assert!(start.elapsed() >= lag.duration());
    }
}
