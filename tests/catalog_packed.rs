//! Compressed catalogs that entries pass on.

use sesamewing::gateway::{compress, decompress};

/// Guards against large catalogs that fill the links of a zone whenever one route changes.
#[test]
fn routes_shrink() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"route-{n}","host":"h{}.example","path_prefix":"/p{n}/"}}"#,
            n % 7
        )
    };
    let routes: Vec<_> = (0..1500).map(route).collect();
    let raw = format!("[{}]", routes.join(","));
    let packed = compress(raw.as_bytes()).expect("memory can be written");
    assert!(
        packed.len() < raw.len() / 5,
        "{} of {}",
        packed.len(),
        raw.len()
    );
    assert_eq!(decompress(&packed).expect("what was packed"), raw);
}

/// Guards against an entry that puts a damaged catalog in force.
#[test]
fn damaged_data_is_refused() {
    let packed = compress(&[7; 4000]).expect("memory can be written");
    assert!(decompress(&packed[..packed.len() / 2]).is_err());
    assert!(decompress(b"catalog").is_err());
}
