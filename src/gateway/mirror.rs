//! Replication of the endpoint table of an entry that reads the store to one that does not.

use std::{net::SocketAddr, rc::Rc};

use super::{
    context::Context,
    endpoint_table::{TableDelta, TableDigest, RENEWAL},
    followers::endpoint_changed,
    gossip::{query, wait_for_change},
    log_event,
    members::Heartbeat,
    serve,
};
use crate::{base::Millis, emit};

/// Time for which the tables of entries that read the store may be older than the one here; after it, the log must have
/// begun anew. A sender reads several times in this time.
const OLDER_MAX: Millis = Millis(5000);

/// Progress of the replication of another entry's endpoint table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Replication {
    peer: SocketAddr,
    /// Start of that entry's process in Unix milliseconds.
    boot: u64,
    /// Hash of its table that led to the last query; `None` while it doubts removals, which no hash shows.
    digest: Option<TableDigest>,
    /// Value of its change counter up to which its changes are applied here.
    count: u64,
}

/// Replicates the endpoint table of an entry that reads the store, while this one does not read it.
pub(super) async fn mirror_table(ctx: Rc<Context>) {
    let mut replication: Option<Replication> = None;
    // Time since which the tables of other entries have been older than that of this one.
    let mut older_since: Option<Millis> = None;
    loop {
        wait_for_change(&ctx).await;
        if ctx.is_reading() {
            (replication, older_since) = (None, None);
            continue;
        }
        let reader = ctx.members.borrow().zone_reader(ctx.now()).cloned();
        let Some(reader) = reader else {
            continue;
        };
        let from = |m: &Replication| m.peer == reader.peer && m.boot == reader.boot;
        let before = replication.filter(from);
        if before.is_some_and(|m| m.digest == Some(reader.status.table)) {
            continue;
        }
        let Some(delta) = query_table(&ctx, &reader, before).await else {
            continue;
        };
        // The store may have answered this entry meanwhile; then what it said is newer or about to be followed.
        if ctx.is_reading() {
            continue;
        }
        if let Some(era) = delta.view.era {
            ctx.learn_era(era, &reader.peer.to_string());
        }
        if ctx.is_of_older_era(&delta) {
            let (peer, era) = (reader.peer, delta.view.era);
            emit!(
                log_event::MEMBER,
                "entry={peer} outcome=older-era era={era:?}"
            );
            continue;
        }
        if is_outdated(&ctx, reader.peer, &delta, &mut older_since) {
            continue;
        }
        let settled = delta.view.doubted.is_empty();
        replication = Some(Replication {
            peer: reader.peer,
            boot: reader.boot,
            digest: settled.then_some(reader.status.table),
            count: delta.count,
        });
        apply_table(&ctx, delta);
    }
}

/// Queries an entry for the changes of its table since `before`, or for all of it.
async fn query_table(
    ctx: &Context,
    reader: &Heartbeat,
    before: Option<Replication>,
) -> Option<TableDelta> {
    let (peer, boot) = (reader.peer, reader.boot);
    let count = before.map_or_else(|| "-".to_owned(), |m| m.count.to_string());
    let path = format!("{}{boot}/{count}", serve::TABLE_PATH);
    let data = query(ctx, peer, &path).await;
    let Some(delta) = data.and_then(|data| TableDelta::decode(&data).ok()) else {
        emit!(log_event::MEMBER, "entry={peer} outcome=no-table");
        ctx.members.borrow_mut().back_off(peer, ctx.now());
        return None;
    };
    if before.is_none() {
        let (whole, records) = (delta.full, delta.records.len());
        emit!(
            log_event::READER,
            "source={peer} whole={whole} records={records}"
        );
    }
    Some(delta)
}

/// Returns whether what an entry sent is older than the table here, so that it must not replace it; `since` is the time
/// since which that has been so.
fn is_outdated(
    ctx: &Context,
    peer: SocketAddr,
    delta: &TableDelta,
    since: &mut Option<Millis>,
) -> bool {
    let now = ctx.now();
    let mut table = ctx.endpoints.borrow_mut();
    if !table.is_ahead(delta) {
        *since = None;
        return false;
    }
    if since.is_none() {
        let (own, sent) = (table.position(), delta.view.position);
        emit!(
            log_event::MEMBER,
            "entry={peer} outcome=older-table own={own:?} sent={sent:?}"
        );
    }
    if now < *since.get_or_insert(now) + OLDER_MAX {
        return true;
    }
    table.forget_position();
    *since = None;
    false
}

/// Applies what an entry sent of its table.
fn apply_table(ctx: &Context, mut delta: TableDelta) {
    let now = ctx.now();
    let doubts = !delta.view.doubted.is_empty();
    let restoring = ctx.endpoints.borrow().is_restoring(now);
    if doubts && !restoring && ctx.members.borrow().store_was_up(RENEWAL, now) {
        delta.settle();
    }
    let changes = ctx.endpoints.borrow_mut().apply_delta(delta, now);
    for (id, change) in &changes {
        endpoint_changed(ctx, id, *change);
    }
    ctx.table_loaded.set(true);
    if !changes.is_empty() {
        ctx.notify_changed();
    }
}
