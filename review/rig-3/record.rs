//! What a case saw, with times.

use std::{fmt::Write, path::Path, sync::Mutex, time::Instant};

/// Lines of a case, each with the time since its start in milliseconds.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn begin() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes all lines to a file.
    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|l| l.0);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:>7}.{:03} {line}", at / 1000, at % 1000);
        }
        std::fs::write(file, text).expect("the record can be written");
    }
}
