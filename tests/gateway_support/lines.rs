//! Collects the log lines of a test's thread.

use std::cell::RefCell;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Collector;

impl log::Log for Collector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.level() <= log::Level::Info {
            let line = record.args().to_string();
            LINES.with_borrow_mut(|lines| lines.push(line));
        }
    }

    fn flush(&self) {}
}

/// Collects lines from now on.
pub fn collect_lines() {
    // Another test of the process may have set it.
    let _ = log::set_logger(&Collector);
    log::set_max_level(log::LevelFilter::Info);
}

/// Returns the lines that were collected, and forgets them.
pub fn take_lines() -> Vec<String> {
    LINES.take()
}

/// Returns the number of collected lines that begin with a text.
pub fn count_lines(start: &str) -> usize {
    LINES.with_borrow(|lines| lines.iter().filter(|l| l.starts_with(start)).count())
}
