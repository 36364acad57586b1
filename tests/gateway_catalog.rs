//! Catalog: routes by host and longest path prefix, and traffic splits.

use sesamewing::{
    base::Millis,
    gateway::{Catalog, Repeat, Route},
};

fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        targets: targets
            .iter()
            .map(|(s, w)| (s.parse().expect("a valid name"), *w))
            .collect(),
        streaming: false,
        repeat: Repeat::Once,
        attempts: 1,
        timeout: Millis(1000),
        objective: Millis(100),
        priority: 0,
        public: false,
        allowed_regions: None,
    }
}

/// Guards against a request that gets the route of a shorter prefix or of another host.
#[test]
fn longest_prefix_of_the_host_wins() {
    let mut catalog = Catalog::default();
    for prefix in ["/a/", "/a/b/c/", "/a/b/"] {
        catalog.add_route("one.example", route(prefix, &[("s", 1)]));
    }
    let found = |host, path| catalog.find(host, path).map(|r| r.name.to_string());
    assert_eq!(found("one.example", "/a/b/c/d").as_deref(), Some("/a/b/c/"));
    assert_eq!(found("ONE.example:80", "/a/b/x").as_deref(), Some("/a/b/"));
    assert_eq!(found("one.example", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(found("one.example", "/ab/"), None);
    assert_eq!(found("two.example", "/a/"), None);
}

/// Guards against a traffic split that sends all requests to one service.
#[test]
fn split_follows_the_weights() {
    let split = route("/", &[("big", 90), ("small", 10)]);
    let small = (0..1000).filter(|d| split.service(*d).as_str() == "small");
    assert_eq!(small.count(), 100);
}
