//! Log lines that never delay the process: a bounded queue to a thread that writes them.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU32, AtomicU64, Ordering},
        mpsc::{sync_channel, SyncSender, TrySendError},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that wait to be written; further ones are left out and counted.
const QUEUE: usize = 1024;

/// Lines a second; bounds the processor time and the volume of a process under load.
const LINES_PER_SECOND: u32 = 300;

/// Stack of the writing thread, in bytes.
const STACK: usize = 64 << 10;

/// Counts lines that were left out.
#[derive(Clone, Debug, Default)]
pub struct LeftOut(Arc<AtomicU64>);

impl LeftOut {
    /// Returns how many lines were left out since the start.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Admits a number of lines in each second.
#[derive(Debug)]
pub struct LineRate {
    start: Instant,
    limit: u32,
    /// Second since the start that `used` belongs to.
    second: AtomicU64,
    used: AtomicU32,
}

impl LineRate {
    /// Creates a rate of `limit` lines a second.
    pub fn new(limit: u32) -> Self {
        Self {
            start: Instant::now(),
            limit,
            second: AtomicU64::new(0),
            used: AtomicU32::new(0),
        }
    }

    /// Returns whether a line may be written now.
    pub fn admits(&self) -> bool {
        self.admits_at(self.start.elapsed())
    }

    /// Returns whether a line may be written at a time since the start.
    pub fn admits_at(&self, at: Duration) -> bool {
        let now = at.as_secs();
        if self.second.swap(now, Ordering::Relaxed) != now {
            self.used.store(0, Ordering::Relaxed);
        }
        self.used.fetch_add(1, Ordering::Relaxed) < self.limit
    }
}

/// Queues lines for a thread; a write never waits.
#[derive(Clone, Debug)]
pub struct LineWriter {
    queue: SyncSender<Vec<u8>>,
    rate: Arc<LineRate>,
    left_out: LeftOut,
    line: Vec<u8>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        Self::with_limits(out, QUEUE, LINES_PER_SECOND)
    }

    /// Starts the thread with other limits than the usual ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn with_limits(
        mut out: impl Write + Send + 'static,
        queue: usize,
        per_second: u32,
    ) -> io::Result<Self> {
        let (sender, lines) = sync_channel::<Vec<u8>>(queue);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK)
            .spawn(move || {
                for line in lines {
                    // Nobody can be told that the log is closed.
                    if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self {
            queue: sender,
            rate: Arc::new(LineRate::new(per_second)),
            left_out: LeftOut::default(),
            line: Vec::new(),
        })
    }

    /// Returns the count of lines that were left out.
    pub fn left_out(&self) -> LeftOut {
        self.left_out.clone()
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !self.rate.admits() {
            self.left_out.add();
            return;
        }
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(line)
        {
            self.left_out.add();
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if self.line.ends_with(b"\n") {
            self.send();
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
