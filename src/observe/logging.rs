//! Logging set-up of the programs.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, LevelPadding, WriteLogger};
use time::{format_description::FormatItem, macros::format_description};

use super::{lines::LeftOut, LineWriter};

/// UTC with milliseconds.
const TIME: &[FormatItem<'static>] =
    format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z");

/// Targets of libraries that log each request or packet; only their warnings and errors are kept.
///
/// `_` is the target of indented lines of rocket.
const QUIET: [&str; 8] = [
    "rocket", "_", "hyper", "quinn", "rustls", "reqwest", "mio", "tracing",
];

/// Passes records to the logger, except the details of libraries.
struct Filter<W: Write + Send + 'static>(Box<WriteLogger<W>>);

/// Returns the least severe level that is kept of a target.
fn limit(target: &str) -> LevelFilter {
    // Rocket announces its launch as a warning.
    if target.starts_with("rocket::launch") {
        return LevelFilter::Error;
    }
    if QUIET.iter().any(|q| target.starts_with(q)) {
        return LevelFilter::Warn;
    }
    LevelFilter::Trace
}

impl<W: Write + Send + 'static> Log for Filter<W> {
    fn enabled(&self, m: &Metadata<'_>) -> bool {
        m.level() <= limit(m.target()) && self.0.enabled(m)
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
    install(level, std::io::stderr())
}

/// Sends log lines of at least `level` to standard output without ever waiting for it; returns the count of lines that
/// were left out under load.
///
/// # Errors
///
/// Returns an error if the thread that writes cannot be started, or the program has a logger already.
pub fn init_line_logging(level: LevelFilter) -> eyre::Result<LeftOut> {
    let writer = LineWriter::start(std::io::stdout())?;
    let left_out = writer.left_out();
    install(level, writer)?;
    Ok(left_out)
}

fn install(
    level: LevelFilter,
    out: impl Write + Send + 'static,
) -> Result<(), log::SetLoggerError> {
    let config = ConfigBuilder::new()
        .set_time_format_custom(TIME)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Debug)
        .set_level_padding(LevelPadding::Right)
        .build();
    log::set_boxed_logger(Box::new(Filter(WriteLogger::new(level, config, out))))?;
    log::set_max_level(level);
    Ok(())
}
