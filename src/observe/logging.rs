//! Logging set-up of the programs.

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, LevelPadding, WriteLogger};

/// Targets of libraries that log each request or packet; only their warnings and errors are kept.
///
/// `_` is the target of indented lines of rocket.
const QUIET: [&str; 8] = [
    "rocket", "_", "hyper", "quinn", "rustls", "reqwest", "mio", "tracing",
];

/// Passes records to the logger, except the details of libraries.
struct Filter(Box<WriteLogger<std::io::Stderr>>);

fn is_quiet(target: &str) -> bool {
    QUIET.iter().any(|q| target.starts_with(q))
}

impl Log for Filter {
    fn enabled(&self, m: &Metadata<'_>) -> bool {
        self.0.enabled(m) && (m.level() <= LevelFilter::Warn || !is_quiet(m.target()))
    }

    fn log(&self, r: &Record<'_>) {
        if self.enabled(r.metadata()) {
            self.0.log(r);
        }
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Sends log lines of at least `level` to standard error; called once, before rocket would set up its own logger.
///
/// # Errors
///
/// Returns an error if the program has a logger already.
pub fn init_logging(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Debug)
        .set_level_padding(LevelPadding::Right)
        .build();
    log::set_boxed_logger(Box::new(Filter(WriteLogger::new(
        level,
        config,
        std::io::stderr(),
    ))))?;
    log::set_max_level(level);
    Ok(())
}
