//! Model, without network, of the time from which entries count versions: readers whose responses are lost or slow,
//! takeovers, restarts and an outage of the store. It counts versions that count too late, and too early.

use std::fmt;

use sesamewing::{
    base::{spread, Millis},
    gateway::{DesiredVersions, LogEnds, WeightVersion, WriteAge},
};

/// Step of the model, and delay of a datagram; longer than on the users' network.
const STEP: Millis = Millis(25);

const HEARTBEAT: Millis = Millis(250);
const WAIT: Millis = Millis(3500);
const WAIT_BEFORE: Millis = Millis(5000);
const TIMEOUT: Millis = Millis(1500);
const RETRY: Millis = Millis(300);

/// Time from the loss of a reader until another entry of its zone reads the operator's records.
const TAKEOVER: Millis = Millis(2000);

/// What was assumed of a takeover before entries reported where the log ends.
const HANDOVER: Millis = Millis(3500);

/// Time of one read of the announcements and the pause after it, before and now.
const ANNOUNCEMENTS: [Millis; 2] = [Millis(7000), Millis(20_000)];

/// Time by which a version may count late: the tolerance for the delay of datagrams.
const LATE: Millis = Millis(60);

/// Stated bound on the time by which a version may count early.
const EARLY: Millis = Millis(500);

const END: Millis = Millis(60_000);

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Before,
    Now,
}

/// A read of the store.
#[derive(Clone, Copy)]
struct Read {
    begun: Millis,
    /// Time for which it waits for records.
    wait: Millis,
    /// Position from which it reads; `None` for one of the newest records.
    from: Option<usize>,
    /// When it ends, and whether its response arrives then.
    end: Option<(Millis, bool)>,
    /// Time for which its response is under way, and whether it is lost.
    delay: Millis,
    lost: bool,
}

#[derive(Default)]
struct Entry {
    zone: usize,
    born: Millis,
    up: bool,
    ends: LogEnds,
    desired: DesiredVersions,
    read: Option<Read>,
    idle_until: Millis,
    /// Whether the last read brought records, as it did at other readers at that time.
    got_records: bool,
    position: Option<usize>,
    /// Last time at which the log is known to have ended at the position.
    ended: Millis,
    inactive: Option<Millis>,
    failed: Millis,
}

/// How often and by how much versions counted late and early, 1 s after an entry learned of them.
#[derive(Clone, Copy, Default)]
struct Errors {
    counted: u32,
    late: u32,
    late_max: Millis,
    early: u32,
    early_max: Millis,
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            counted,
            late,
            early,
            ..
        } = self;
        let (late_max, early_max) = (self.late_max, self.early_max);
        write!(f, "{counted} counted, {late} late (at most {late_max}), {early} over 500 ms early (at most {early_max})")
    }
}

struct Model {
    rng: fastrand::Rng,
    rule: Rule,
    entries: Vec<Entry>,
    /// Times of the acknowledgements of the versions 1, 2, and so on.
    log: Vec<Millis>,
    /// Times between which the store does not respond.
    outage: (Millis, Millis),
    /// Whether waits that begin together are spread.
    spreads: bool,
    /// Whether the read after a slow response is slow, too.
    slow_lasts: bool,
    /// Share of lost and of slow responses, in percent.
    trouble: u32,
    reads: u32,
    /// Sum of the times for which entries were readers.
    reader_time: Millis,
    now: Millis,
}

impl Model {
    fn new(entries: usize, rule: Rule, seed: u64) -> Self {
        fastrand::seed(seed);
        let entry = |i| Entry {
            zone: i % 3,
            up: true,
            ..Entry::default()
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            rule,
            entries: (0..entries).map(entry).collect(),
            log: vec![Millis(1)],
            outage: (END, END),
            spreads: rule == Rule::Now,
            slow_lasts: true,
            trouble: 0,
            reads: 0,
            reader_time: Millis::ZERO,
            now: Millis(1000),
        }
    }

    fn is_away(&self) -> bool {
        (self.outage.0..self.outage.1).contains(&self.now)
    }

    /// Returns whether an entry reads the store: the first two of its zone, those that were lost lately included. In an
    /// outage all do so after a while.
    fn is_reader(&self, i: usize) -> bool {
        let own = &self.entries[i];
        if own.position.is_none() || (self.is_away() && self.now > self.outage.0 + TAKEOVER) {
            return true;
        }
        let before = self.entries[..i].iter().filter(|e| e.zone == own.zone);
        before.filter(|e| e.up || self.now < e.born).count() < 2
    }

    fn step(&mut self) {
        for i in 0..self.entries.len() {
            if !self.entries[i].up && self.now >= self.entries[i].born {
                let (zone, born) = (self.entries[i].zone, self.now);
                self.entries[i] = Entry {
                    zone,
                    born,
                    up: true,
                    ..Entry::default()
                };
            }
            if self.entries[i].up {
                self.read(i);
            }
        }
        if self.now.0.is_multiple_of(HEARTBEAT.0) {
            self.exchange();
        }
        self.now += STEP;
    }

    fn read(&mut self, i: usize) {
        let (now, away, end) = (self.now, self.is_away(), self.log.len());
        let reader = self.is_reader(i);
        let wait = if self.rule == Rule::Now {
            WAIT
        } else {
            WAIT_BEFORE
        };
        let wait = if self.spreads && self.entries.len() > 1 && self.entries[i].got_records {
            spread(wait)
        } else {
            wait
        };
        if reader {
            self.reader_time += STEP;
        }
        let e = &mut self.entries[i];
        let Some(mut read) = e.read else {
            if !reader {
                e.inactive = Some(now);
            } else if now >= e.idle_until {
                let from = e.position.filter(|_| e.inactive != Some(now - STEP));
                let slow = self.rng.u32(..100) < self.trouble;
                let delay = if slow { Millis(1500) } else { Millis::ZERO };
                let lost = self.rng.u32(..100) < self.trouble;
                e.read = Some(Read {
                    begun: now,
                    wait,
                    from,
                    end: None,
                    delay,
                    lost,
                });
                self.reads += 1;
            }
            return;
        };
        if read.end.is_none() {
            let made = read.from.is_none_or(|at| at < end)
                || now >= read.begun + read.wait
                || e.failed > Millis::ZERO;
            if away {
                read.end = Some((now, false));
            } else if made {
                let delay = if read.lost { TIMEOUT } else { read.delay };
                read.end = Some((now + delay, !read.lost));
            }
        }
        e.read = Some(read);
        let Some((at, arrives)) = read.end.filter(|end| end.0 <= now) else {
            return;
        };
        e.read = None;
        if !arrives {
            (e.failed, e.idle_until) = (read.begun, now + RETRY);
            if away {
                e.position = e
                    .position
                    .filter(|_| now < self.outage.0 + Millis(2000))
                    .or(Some(0));
            }
            return;
        }
        self.apply(i, read, at - read.delay);
    }

    /// Applies a response that was made at a time.
    fn apply(&mut self, i: usize, read: Read, made: Millis) {
        let now = self.now;
        let next = self.log.iter().filter(|at| **at <= made).count();
        let after_outage = now >= self.outage.1 && self.entries[i].failed >= self.outage.0;
        let e = &mut self.entries[i];
        // After a failure, a read does not wait.
        let waits = e.failed == Millis::ZERO;
        let first = e.position.is_none();
        let known = e.position.unwrap_or(0).min(next);
        let whole = read.from.is_none() || after_outage;
        let reported = e.ends.reported(now).filter(|v| v.position <= next as u64);
        let slow = read.delay > Millis::ZERO;
        // Time before which the records were not written, and the one from which they count.
        let mut after = e.ended;
        let mut outage = Millis::ZERO;
        if let (true, Rule::Now, Some(view)) = (whole, self.rule, reported) {
            after = now - view.age;
        } else if let (true, Some(at)) = (whole, e.inactive) {
            after = at - HANDOVER;
        } else if whole && after_outage {
            outage = e.failed;
        } else if !whole && next > known && waits && read.begun + Millis(300) < now {
            // The response is taken to have come at once, now only if that to a further read does.
            self.reads += u32::from(self.rule == Rule::Now);
            if !slow || self.rule == Rule::Before || !self.slow_lasts {
                after = after.max(now - STEP);
            }
        }
        for v in known..next {
            let age = (!first).then_some(WriteAge {
                age: now - after.max(outage),
                uncertainty: now - after,
            });
            e.desired.record(WeightVersion(v as u64 + 1), age, now);
        }
        e.got_records = (next > known || whole) && !first;
        e.failed = Millis::ZERO;
        e.inactive = None;
        e.position = Some(next);
        e.ended = if next > known || whole {
            read.begun
        } else {
            made
        };
        e.ends.record(next as u64, e.ended);
    }

    fn exchange(&mut self) {
        let count = self.entries.len();
        let mut sent = Vec::new();
        for (i, e) in self.entries.iter().enumerate().filter(|(_, e)| e.up) {
            let ages: Vec<_> = e.desired.ages(self.now).collect();
            let reports = self.now >= e.born + Millis(3000);
            let view = e.ends.view(self.now).filter(|_| reports);
            let near = |j: &usize| j % 3 == e.zone;
            let mut targets: Vec<_> = (0..count).filter(|j| *j != i).collect();
            if count > 16 {
                self.rng.shuffle(&mut targets);
                let far: Vec<_> = targets
                    .iter()
                    .copied()
                    .filter(|j| !near(j))
                    .take(3)
                    .collect();
                targets = targets
                    .into_iter()
                    .filter(near)
                    .take(12)
                    .chain(far)
                    .collect();
            }
            sent.push((targets, ages, view));
        }
        for (targets, ages, view) in sent {
            for j in targets {
                let e = &mut self.entries[j];
                if !e.up || self.rng.u32(..100) < 5 {
                    continue;
                }
                for (version, age) in &ages {
                    e.desired.merge(*version, *age, self.now + STEP);
                }
                if let Some(view) = view {
                    e.ends.merge(view, Millis::ZERO, self.now + STEP);
                }
            }
        }
    }

    fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.step();
        }
    }

    /// Adds the errors of all entries about a version.
    fn count(&self, version: usize, out: &mut Errors) {
        let ack = self.log[version - 1];
        for e in self.entries.iter().filter(|e| e.up && e.born < ack) {
            let ages: Vec<_> = e.desired.ages(self.now).collect();
            let Some((_, age)) = ages.iter().find(|a| a.0 == WeightVersion(version as u64)) else {
                continue;
            };
            let at = self.now - age.age;
            out.counted += 1;
            out.late += u32::from(at > ack + LATE);
            out.late_max = out.late_max.max(at - ack);
            out.early += u32::from(at + EARLY < ack);
            out.early_max = out.early_max.max(ack - at);
        }
    }

    /// Returns the number of reads of the operator's records and of the announcements.
    fn reads(&self) -> u32 {
        let cycle = ANNOUNCEMENTS[usize::from(self.rule == Rule::Now)];
        self.reads + (self.reader_time.0 / cycle.0) as u32
    }

    fn stop(&mut self, i: usize) {
        (self.entries[i].up, self.entries[i].born) = (false, self.now + TAKEOVER);
    }
}

/// Runs days with lost and slow responses, and readers that restart while a version is named.
fn troubled(entries: usize, rule: Rule, slow_lasts: bool) -> (Errors, u32) {
    let (mut out, mut reads) = (Errors::default(), 0);
    for seed in 1..=if entries > 100 { 4 } else { 20 } {
        let mut model = Model::new(entries, rule, seed);
        model.run_until(Millis(6000));
        (model.trouble, model.slow_lasts) = (10, slow_lasts);
        for version in 2..=6 {
            let at = model.now + Millis(STEP.0 * model.rng.u64(100..200));
            model.run_until(at);
            if entries > 1 && version % 2 == 0 {
                for i in 0..model.rng.usize(1..=entries.min(6)) {
                    model.stop(i);
                }
            }
            model.log.push(model.now);
            model.run_until(at + Millis(6000));
            model.count(version, &mut out);
        }
        reads += model.reads();
    }
    (out, reads)
}

/// Load: the store is away from 18 to 26 s, and two versions are named at 18 and 20 s.
fn outage(entries: usize, rule: Rule) -> [Errors; 2] {
    let mut out = [Errors::default(); 2];
    for seed in 1..=if entries > 100 { 4 } else { 20 } {
        let mut model = Model::new(entries, rule, seed);
        // Readers begin their waits at different times, or together as after a record.
        let together = Millis(1000 + STEP.0 * model.rng.u64(..200));
        for e in &mut model.entries {
            let apart = Millis(1000 + STEP.0 * model.rng.u64(..200));
            e.idle_until = if seed % 2 == 0 { together } else { apart };
        }
        model.run_until(Millis(18_000));
        model.outage = (Millis(18_000), Millis(26_000));
        model.log.push(Millis(18_000));
        model.run_until(Millis(20_000));
        model.log.push(Millis(20_000));
        model.run_until(Millis(28_000));
        model.count(2, &mut out[0]);
        model.count(3, &mut out[1]);
    }
    out
}

/// Load: the store is away from 18 to 26 s, a version is named at 18 s, and another record is written some seconds before.
/// Returns the sum of the times by which the version counts early, the number of entries, and the number of reads.
fn outage_after_record(entries: usize, spreads: bool) -> (Millis, u64, u32) {
    let (mut sum, mut counted, mut reads) = (Millis::ZERO, 0, 0);
    for seed in 1..=if entries > 100 { 4 } else { 20 } {
        let mut model = Model::new(entries, Rule::Now, seed);
        model.spreads = spreads;
        let written = Millis(10_000 + STEP.0 * model.rng.u64(..280));
        model.run_until(written);
        model.log.push(model.now);
        model.run_until(Millis(18_000));
        model.outage = (Millis(18_000), Millis(26_000));
        reads += model.reads();
        model.log.push(model.now);
        model.run_until(Millis(28_000));
        for e in &model.entries {
            let ages: Vec<_> = e.desired.ages(model.now).collect();
            let age = ages.iter().find(|a| a.0 == WeightVersion(3));
            let age = age.expect("all entries know of the version").1.age;
            assert!(model.now - age <= Millis(18_000) + LATE, "it counts late");
            sum += Millis(18_000) - (model.now - age);
            counted += 1;
        }
    }
    (sum, counted, reads)
}

/// Guards against readers that wait together since the last record: their reads end together, and nothing is known of the log
/// for seconds before an outage.
#[test]
fn waits_are_spread() {
    for entries in [9, 48, 410] {
        let found = [false, true].map(|spreads| {
            let (sum, counted, reads) = outage_after_record(entries, spreads);
            let mean = Millis(sum.0 / counted);
            println!("{entries} entries, spread {spreads}: {mean} early on average, {reads} reads before");
            (mean, reads)
        });
        let [together, apart] = found;
        // Six readers that wait independently of each other leave a seventh of the wait on average; reports take some
        // heartbeats to reach all entries.
        assert!(apart.0 <= Millis(WAIT.0 / 7) + EARLY, "{entries} entries");
        assert!(apart.1 * 4 <= together.1 * 5, "{entries} entries");
    }
}

/// Guards against a version that counts from late at an entry that takes over or waited for a slow or lost response.
#[test]
fn lost_and_slow_responses() {
    for entries in [1, 9, 48, 410] {
        let (before, reads_before) = troubled(entries, Rule::Before, true);
        let (now, reads) = troubled(entries, Rule::Now, true);
        println!("{entries} entries, before: {before}; {reads_before} reads");
        println!("{entries} entries, now:    {now}; {reads} reads");
        assert_eq!(now.late, 0, "{entries} entries");
        assert!(now.early * 4 < now.counted, "{entries} entries");
    }
}

/// Guards against versions that count from the end of an outage in which they were acknowledged, or from long before it.
#[test]
fn versions_of_an_outage() {
    for entries in [9, 48, 410] {
        let [two, three] = outage(entries, Rule::Before);
        println!("{entries} entries, before: {two}; {three}");
        let [two, three] = outage(entries, Rule::Now);
        println!("{entries} entries, now:    {two}; {three}");
        assert_eq!((two.late, three.late), (0, 0), "{entries} entries");
        assert!(two.early_max <= WAIT + EARLY, "{entries} entries");
    }
}

/// Guards against a version that counts from late because one response was slow, and the read after it was not.
#[test]
fn lone_slow_responses() {
    let all = [1, 9, 48, 410].map(|entries| (entries, troubled(entries, Rule::Now, false).0));
    for (entries, found) in all {
        println!("{entries} entries: {found}");
    }
    assert!(all.iter().all(|(_, found)| found.late == 0));
}

/// Guards against versions that count from more than the stated bound before their acknowledgement.
#[test]
fn stated_bound() {
    for entries in [1, 9, 48, 410] {
        let (found, _) = troubled(entries, Rule::Now, true);
        println!("{entries} entries: {found}");
        assert_eq!(found.early, 0, "{entries} entries");
    }
}
