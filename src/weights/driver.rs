//! Drives the scheduler of one copy: starts and ends its transfers and subscriptions.

use tokio::{
    sync::mpsc,
    task::{AbortHandle, JoinSet},
};

use crate::{
    base::{HashMap, Millis},
    decide::chunk::{Action, Event, Fault, PeerId, Scheduler, Source, Topology},
};

/// Events that wait for the scheduler; a subscription pauses when they are not taken.
const EVENTS: usize = 64;

/// A transfer that ended.
pub(crate) struct Fetched<T> {
    pub(crate) chunk: u32,
    pub(crate) from: Source,
    pub(crate) result: Result<T, Fault>,
}

/// How the chunks of a copy are transferred, and what becomes of them.
pub(crate) trait Transfer {
    /// What a transfer brings.
    type Content: 'static;

    /// Why a copy is given up.
    type Error;

    /// Longest time between two looks at the list of hosts.
    const REFRESH: Millis;

    /// Returns the time.
    fn now(&self) -> Millis;

    /// Returns the hosts if they changed since the last look.
    fn refresh(&mut self) -> Option<Topology>;

    /// Starts the transfer of a chunk.
    fn fetch(
        &self,
        tasks: &mut JoinSet<Fetched<Self::Content>>,
        chunk: u32,
        from: Source,
    ) -> AbortHandle;

    /// Starts to pass a neighbour's news on, with [`Event::Gone`] at the end; `None` if its address is not known.
    fn subscribe(
        &self,
        tasks: &mut JoinSet<()>,
        id: PeerId,
        events: mpsc::Sender<Event>,
    ) -> Option<AbortHandle>;

    /// Called after each decision with the number of chunks that this host or a neighbour is known to hold.
    fn note_known(&self, _known: u32) {}

    /// Takes what a transfer brought and tells the scheduler.
    ///
    /// # Errors
    ///
    /// Returns why the copy cannot be completed.
    fn finish(
        &mut self,
        scheduler: &mut Scheduler,
        done: Fetched<Self::Content>,
    ) -> Result<(), Self::Error>;
}

/// A copy; dropping it ends all its tasks.
pub(crate) struct Driver<T: Transfer> {
    transfer: T,
    scheduler: Scheduler,
    fetches: JoinSet<Fetched<T::Content>>,
    /// Handles of `fetches`.
    running: HashMap<(u32, Source), AbortHandle>,
    subscriptions: JoinSet<()>,
    /// Handles of `subscriptions`.
    following: HashMap<PeerId, AbortHandle>,
    events: (mpsc::Sender<Event>, mpsc::Receiver<Event>),
}

impl<T: Transfer> Driver<T> {
    pub(crate) fn new(transfer: T, scheduler: Scheduler) -> Self {
        Self {
            transfer,
            scheduler,
            fetches: JoinSet::new(),
            running: HashMap::default(),
            subscriptions: JoinSet::new(),
            following: HashMap::default(),
            events: mpsc::channel(EVENTS),
        }
    }

    /// Copies until all chunks are held.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Transfer::finish`].
    pub(crate) async fn run(mut self) -> Result<(), T::Error> {
        while let Some(wake) = self.act() {
            self.subscribe();
            self.transfer.note_known(self.scheduler.known());
            let wait = (wake - self.transfer.now()).min(T::REFRESH);
            tokio::select! {
                Some(event) = self.events.1.recv() => {
                    self.take(event);
                    while let Ok(event) = self.events.1.try_recv() {
                        self.take(event);
                    }
                }
                Some(done) = self.fetches.join_next() => {
                    // Aborted tasks were cancelled by the scheduler, which expects no event for them.
                    if let Ok(done) = done {
                        self.finish(done)?;
                    }
                }
                () = tokio::time::sleep(wait.duration()) => {}
            }
            if let Some(topology) = self.transfer.refresh() {
                self.take(Event::Members(topology));
            }
        }
        Ok(())
    }

    fn take(&mut self, event: Event) {
        if let Event::Gone(peer) = event {
            self.following.remove(&peer);
        }
        self.scheduler.handle(self.transfer.now(), event);
    }

    /// Does what the scheduler decides; returns the time of its next decision, or `None` when all chunks are held.
    fn act(&mut self) -> Option<Millis> {
        loop {
            match self.scheduler.poll(self.transfer.now()) {
                Action::Fetch(chunk, from) => {
                    let task = self.transfer.fetch(&mut self.fetches, chunk, from);
                    self.running.insert((chunk, from), task);
                }
                Action::Cancel(chunk, from) => {
                    if let Some(task) = self.running.remove(&(chunk, from)) {
                        task.abort();
                    }
                }
                Action::Wait(at) => return Some(at),
                Action::Done => return None,
            }
        }
    }

    fn finish(&mut self, done: Fetched<T::Content>) -> Result<(), T::Error> {
        if self.running.remove(&(done.chunk, done.from)).is_none() {
            return Ok(());
        }
        self.transfer.finish(&mut self.scheduler, done)
    }

    /// Keeps one subscription to each neighbour.
    fn subscribe(&mut self) {
        let wanted: Vec<_> = self.scheduler.neighbours().collect();
        self.following.retain(|id, task| {
            let keep = wanted.contains(id);
            if !keep {
                task.abort();
            }
            keep
        });
        while self.subscriptions.try_join_next().is_some() {}
        for id in wanted {
            if self.following.contains_key(&id) {
                continue;
            }
            let events = self.events.0.clone();
            let task = self.transfer.subscribe(&mut self.subscriptions, id, events);
            if let Some(task) = task {
                self.following.insert(id, task);
            }
        }
    }
}
