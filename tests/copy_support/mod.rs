//! Agents before an origin in memory: content, configuration and settings.
#![allow(dead_code, unreachable_pub)]

use std::{collections::HashMap as RegionMap, net::SocketAddr};

use bytes::Bytes;
use sesamewing::{
    base::{Digest, Millis, Rate, Size},
    gateway::{
        Catalog, CatalogVersion, EngineSpeed, OriginSpec, ServiceSpec, ServiceWeights,
        WeightVersion,
    },
    staging::{AgentSettings, HostError, Manifest, Origin},
};
use sha2::{Digest as _, Sha256};

use crate::gateway_support::addr;

/// Size of a chunk in bytes.
pub const CHUNK: usize = 8 << 10;

/// Port at which agents serve each other.
pub const PORT: u16 = 7000;

/// Returns the only chunk of a version.
pub fn content(version: u64) -> Bytes {
    Bytes::from(vec![version as u8; CHUNK])
}

/// Origin in memory of versions with one chunk each.
#[derive(Clone)]
pub struct MemoryOrigin;

impl Origin for MemoryOrigin {
    async fn manifest(
        &self,
        _: SocketAddr,
        _: &str,
        version: Option<WeightVersion>,
    ) -> Result<Manifest, HostError> {
        let version = version.unwrap_or(WeightVersion(1));
        Ok(Manifest {
            version,
            chunk: Size(CHUNK as u64),
            digests: vec![Digest(Sha256::digest(content(version.0)).into())],
        })
    }

    async fn chunk(
        &self,
        _: SocketAddr,
        _: &str,
        version: WeightVersion,
        _: u32,
        _: Size,
    ) -> Result<Bytes, HostError> {
        Ok(content(version.0))
    }
}

/// Returns a catalog with one service, whose endpoints hold a model.
pub fn catalog() -> Catalog {
    let mut out = Catalog {
        version: CatalogVersion(1),
        ..Catalog::default()
    };
    let spec = ServiceSpec {
        connections: 10,
        engine: Some(EngineSpeed {
            slots: 4,
            step_ms: 7.0,
            sequence_ms: 0.0,
            prompt_rate: 30.0,
        }),
        weights: Some(ServiceWeights {
            models: vec!["m".into()],
        }),
        origin: Some(OriginSpec {
            addr: addr(15, 1),
            zone: Some("a".parse().expect("a valid name")),
        }),
    };
    out.services
        .insert("llm".parse().expect("a valid name"), spec);
    out
}

/// Returns the settings of an agent whose versions are enforced at an age of `bound`.
pub fn settings(n: u8, bound: Millis) -> AgentSettings {
    let zone = "a".parse().expect("a valid name");
    let region = "r".parse().expect("a valid name");
    AgentSettings {
        name: format!("agent-{n}").parse().expect("a valid name"),
        regions: RegionMap::from([("a".parse().expect("a valid name"), region)]),
        zone,
        service: "llm".parse().expect("a valid name"),
        peer_addr: addr(n, PORT),
        bound,
        link_rate: Rate(4_000_000),
        prefetch: true,
    }
}
