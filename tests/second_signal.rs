//! A daemon whose work does not end: the first signal drains, the second one ends the process with a warning.
//!
//! The test starts its own program as the daemon, because no role of the system refuses to drain.

mod support;

use std::{future::pending, process::ExitCode};

use sesamewing::{process, wire::Role};
use support::{Certificates, Daemon};

const NAME: &str = "a_second_signal_ends_the_process";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let has = |name: &str| args.iter().any(|a| a == name);
    if has("--config") {
        return process::start(Role::Entry, |_| pending());
    }
    if has("--list") {
        if !has("--ignored") {
            println!("{NAME}: test");
        }
        return ExitCode::SUCCESS;
    }
    a_second_signal_ends_the_process();
    ExitCode::SUCCESS
}

fn a_second_signal_ends_the_process() {
    let certs = Certificates::new();
    let program = std::env::current_exe().expect("a path");
    let mut daemon = Daemon::start_program(&program, Role::Entry, &certs, "http://127.0.0.1:9");
    daemon.signal("TERM");
    // Two signals that arrive before the first is handled count as one.
    while !daemon.log().contains("SW801 signalled") {
        assert!(daemon.is_running(), "{}", daemon.log());
        std::thread::yield_now();
    }
    assert!(daemon.is_running(), "the drain goes on");
    daemon.signal("TERM");
    assert_eq!(daemon.wait(), Some(1));
    assert!(
        daemon.log().contains("SW802 ended-early"),
        "{}",
        daemon.log()
    );
}
