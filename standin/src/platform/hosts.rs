//! The lagging host list.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use rocket::{http::Status, serde::json::Json, Route, State};
use sesamewing::{
    base::{lock, Millis, ProcessName},
    wire::{HostEntry, Hosts},
};
use tokio::time::Instant;

use crate::fault::{Fault, Faults};

#[derive(Default)]
struct Table {
    visible: BTreeMap<ProcessName, HostEntry>,
    /// Changes that do not show yet, with the time at which they do.
    pending: VecDeque<(Instant, ProcessName, Option<HostEntry>)>,
}

/// The host list.
pub(super) struct HostTable {
    lag: Millis,
    faults: Arc<Faults>,
    table: Mutex<Table>,
}

impl HostTable {
    pub(super) fn new(lag: Millis, faults: Arc<Faults>) -> Self {
        Self {
            lag,
            faults,
            table: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    fn change(&self, name: ProcessName, entry: Option<HostEntry>) {
        let due = Instant::now() + self.lag.duration();
        self.lock().pending.push_back((due, name, entry));
    }

    fn read(&self) -> Hosts {
        let mut t = self.lock();
        let frozen = self.faults.find(Fault::FreezeReports, "/hosts").is_some();
        let now = Instant::now();
        while !frozen && t.pending.front().is_some_and(|(due, ..)| *due <= now) {
            match t.pending.pop_front() {
                Some((_, name, Some(entry))) => t.visible.insert(name, entry),
                Some((_, name, None)) => t.visible.remove(&name),
                None => None,
            };
        }
        Hosts {
            hosts: t.visible.values().cloned().collect(),
        }
    }
}

#[rocket::get("/hosts")]
fn list(hosts: &State<HostTable>) -> Json<Hosts> {
    Json(hosts.read())
}

#[rocket::put("/hosts/<name>", data = "<entry>")]
fn announce(
    hosts: &State<HostTable>,
    name: &str,
    entry: Json<HostEntry>,
) -> Result<(), (Status, &'static str)> {
    if entry.name.as_str() != name {
        return Err((Status::BadRequest, "the entry has another name"));
    }
    hosts.change(entry.name.clone(), Some(entry.into_inner()));
    Ok(())
}

#[rocket::delete("/hosts/<name>")]
fn remove(hosts: &State<HostTable>, name: &str) -> Result<(), Status> {
    let name = name.parse().map_err(|_| Status::BadRequest)?;
    hosts.change(name, None);
    Ok(())
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![list, announce, remove]
}
