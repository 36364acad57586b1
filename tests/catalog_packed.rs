//! Compression of the catalogs that entries transfer to each other.

use sesamewing::gateway::{compress, decompress};

/// Guards against catalogs so large that their transfer fills the links of a zone whenever one route changes.
#[test]
fn routes_are_compressed() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"route-{n}","host":"h{}.example","path_prefix":"/p{n}/"}}"#,
            n % 7
        )
    };
    let routes: Vec<_> = (0..1500).map(route).collect();
    let raw = format!("[{}]", routes.join(","));
    let compressed = compress(raw.as_bytes()).expect("memory can be written");
    assert!(
        compressed.len() < raw.len() / 5,
        "{} of {}",
        compressed.len(),
        raw.len()
    );
    assert_eq!(
        decompress(&compressed).expect("the compressed data is complete"),
        raw
    );
}

/// Guards against an entry that puts a truncated or malformed catalog in force.
#[test]
fn damaged_data_is_rejected() {
    let compressed = compress(&[7; 4000]).expect("memory can be written");
    assert!(decompress(&compressed[..compressed.len() / 2]).is_err());
    assert!(decompress(b"catalog").is_err());
}
