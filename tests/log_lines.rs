//! Log lines under load.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{channel, Receiver},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use sesamewing::observe::{LineRate, LineWriter};

/// An output that takes nothing until it is released.
struct Stuck {
    release: Mutex<Receiver<()>>,
    lines: Arc<AtomicUsize>,
}

impl Write for Stuck {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let release = self.release.get_mut().map_err(|_| io::ErrorKind::Other)?;
        let _ = release.recv();
        self.lines.fetch_add(1, Ordering::Relaxed);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that stands still because nobody reads its log, and against an unbounded queue.
#[test]
fn stuck_output_delays_nothing() {
    let (release, wait) = channel();
    let lines = Arc::new(AtomicUsize::new(0));
    let out = Stuck {
        release: Mutex::new(wait),
        lines: lines.clone(),
    };
    let mut writer = LineWriter::with_limits(out, 10, 100_000).expect("a thread");
    let left_out = writer.left_out();
    let start = Instant::now();
    for i in 0..1000 {
        writeln!(writer, "line {i}").expect("a write never fails");
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    let missing = left_out.count();
    assert!((985..=990).contains(&missing), "{missing}");
    drop(release);
    drop(writer);
    while lines.load(Ordering::Relaxed) + (missing as usize) < 1000 {
        assert!(start.elapsed() < Duration::from_secs(20));
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a volume of lines that grows with the load.
#[test]
fn rate_bounds_each_second() {
    let rate = LineRate::new(5);
    let admitted = |ms| {
        let at = Duration::from_millis(ms);
        (0..100).filter(|_| rate.admits_at(at)).count()
    };
    assert_eq!(admitted(100), 5);
    assert_eq!(admitted(900), 0);
    assert_eq!(admitted(1000), 5);
}
