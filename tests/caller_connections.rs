//! Connections of callers: they outlive changes of the limits, and each request on them has a response.

mod gateway_support;

use std::rc::Rc;

use gateway_support::{
    addr,
    gateway::{catalog, request, respond, with_store, CALLERS},
    send_request, MemoryStore,
};

/// Guards against a closed connection without a response when the handler of a request panics.
#[test]
fn panic_of_a_handler_is_answered() {
    let mut broken = catalog();
    // A route without services breaks what the gateway relies on; no decoder makes one.
    for route in broken.routes.values_mut().flatten() {
        Rc::make_mut(route).targets.clear();
    }
    let scripts = vec![respond("200 OK", "yes")];
    with_store(MemoryStore::default(), broken, scripts, |_, _| async {
        let got = send_request(addr(1, CALLERS), &request("/once/x"), 2000).await;
        assert!(got.contains(" 500 "), "`{got}`");
    });
}
