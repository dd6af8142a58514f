//! Background tasks that keep the node in sync: reading versions and entries from the platform's
//! store, writing the node's own entry, pinging neighbours, and querying other nodes while the
//! store is unreachable.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::link::Entry;
use crate::sidecar::hub::Hub;
use crate::sidecar::watcher::{PING_PERIOD, SWEEP_PERIOD};
use crate::store::{Change, Changes, Feed, Position, Row, Table, Transaction};
use crate::version::Source;

/// Name of the table of the nodes' entries.
pub(crate) const NODE_TABLE: &str = "nodes";

/// How the watcher polls a table for changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Polling {
    /// Duration of one long poll. A store that hangs is noticed when the poll times out, which is
    /// after this duration and the margin of the store's client.
    long_poll: Duration,
    /// Pause after each successful read, so that changes in quick succession are read together.
    pause: Duration,
    /// Whether polling goes on while the store is unreachable, to notice its return.
    polls_during_outage: bool,
}

/// Polling of the versions of the configuration, which have to be in force soon after an operator
/// has written them.
pub(super) const VERSION_POLLING: Polling = Polling {
    long_poll: Duration::from_millis(700),
    pause: Duration::from_millis(150),
    polls_during_outage: true,
};
/// Polling of the nodes' entries, which may be slower: a node that leaves refuses requests by
/// itself, and neighbours are notified over links.
pub(super) const ENTRY_POLLING: Polling = Polling {
    long_poll: Duration::from_secs(5),
    pause: Duration::from_secs(1),
    polls_during_outage: false,
};
/// Interval at which a node checks whether it has become the watcher.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// First pause after a failure; doubled with each further failure. This and the longest pauses
/// below are means: each pause is up to 25 % shorter or longer, at random.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a failed write, and after a failed read by the first node in rank. Nodes
/// further down in rank pause longer after a failed read.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Longest pause after a failed read by a node of any rank; shorter than the time in which entries
/// have to be up to date again after an outage.
const MAX_READ_RETRY_PAUSE: Duration = Duration::from_millis(1_600);
/// Interval at which other nodes are queried while the store is unreachable, the first version is
/// overdue or some node has a higher version; with a random jitter of up to 25 %.
const QUERY_PERIOD: Duration = Duration::from_millis(400);
/// Number of nodes queried each time.
const PEERS_PER_QUERY: usize = 2;
/// Time for the store to deliver the first version before other nodes are queried for it although
/// the store answers. Without it, many nodes that start together would overload the seeds.
const FIRST_VERSION_GRACE: Duration = Duration::from_millis(1_500);

/// Longest pause before a node writes its row again in a new era of the store, so that not all nodes
/// call the store at once. Shorter than the time for which an acknowledgement waits for a write.
const MAX_REWRITE_PAUSE: Duration = Duration::from_millis(300);

/// Reads one table while this node is the watcher, and passes its rows and changes to `apply` with the
/// era in which they were read, until `stopped` closes. Retries after failures.
pub(super) async fn follow_table(
    feed: Arc<dyn Feed>,
    table: &'static str,
    polling: Polling,
    hub: Arc<Hub>,
    apply: impl Fn(&Hub, &[Change], u64) + Send + Sync,
    mut stopped: watch::Receiver<()>,
) {
    let mut pause = MIN_RETRY_PAUSE;
    let mut position = None;
    loop {
        let store_down = !hub.store_reachable.load(Ordering::Relaxed);
        if !hub.is_watcher() || store_down && !polling.polls_during_outage {
            position = None;
            tokio::select! {
                () = tokio::time::sleep(ROLE_CHECK_PERIOD) => continue,
                _ = stopped.changed() => return,
            }
        }
        let read = read_next(feed.as_ref(), table, polling, &hub, &apply, position);
        let read = tokio::select! {
            read = read => read,
            _ = stopped.changed() => return,
        };
        match read {
            Ok(next) => {
                record_store_state(&hub, None);
                position = next;
                pause = MIN_RETRY_PAUSE;
                if position.is_some() {
                    tokio::time::sleep(polling.pause).await;
                }
            }
            Err(error) => {
                record_store_state(&hub, Some(&error));
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(max_pause(hub.rank()));
            }
        }
    }
}

/// Longest pause between calls of the node at `rank` to an unreachable store. Nodes that cannot
/// reach the store are not eligible as the watcher of others, so every node of the data centre ends
/// up as its own watcher and calls the store. The first in rank notices soonest that the store is
/// reachable again, and becomes the watcher of all.
fn max_pause(rank: usize) -> Duration {
    let factor = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
    MAX_RETRY_PAUSE
        .saturating_mul(factor)
        .min(MAX_READ_RETRY_PAUSE)
}

/// Reads a snapshot, or the changes after a position; returns the next position, or `None` if the
/// next read has to be a snapshot.
async fn read_next(
    feed: &dyn Feed,
    table: &str,
    polling: Polling,
    hub: &Hub,
    apply: &impl Fn(&Hub, &[Change], u64),
    position: Option<Position>,
) -> Result<Option<Position>> {
    let Some(position) = position else {
        let snapshot = feed.snapshot(table).await?;
        let rows: Vec<Change> = snapshot.rows.into_iter().map(Change::Written).collect();
        apply(hub, &rows, snapshot.position.era);
        return Ok(Some(snapshot.position));
    };
    match feed.changes(table, position, polling.long_poll).await? {
        Changes::Batch { changes, position } => {
            apply(hub, &changes, position.era);
            Ok(Some(position))
        }
        Changes::HistoryLost => {
            log::info!(
                event = "history_lost",
                table = table;
                "the store dropped or lost changes since the last read; reading the whole table"
            );
            Ok(None)
        }
    }
}

/// Records whether the last call to the store succeeded, and logs a change.
fn record_store_state(hub: &Hub, error: Option<&crate::Error>) {
    let reachable = error.is_none();
    if hub.store_reachable.swap(reachable, Ordering::Relaxed) == reachable {
        return;
    }
    match error {
        None => log::info!(event = "store_regained"; "store is reachable again"),
        Some(error) => log::warn!(
            event = "store_lost";
            "store is unreachable; querying other nodes meanwhile: {error}"
        ),
    }
}

/// Applies changes of the table that holds the configuration, and sends a new version to the
/// neighbours. `era` is the era in which the changes were read.
pub(super) fn apply_version_changes(hub: &Hub, changes: &[Change], key: &str, era: u64) {
    let previous = hub.versions.number();
    let source = Source { name: "store", era };
    let mut applied = false;
    for change in changes {
        if let Change::Written(row) = change
            && row.key == key
        {
            applied |= hub.versions.apply(row.value.as_bytes(), source);
        }
    }
    if applied {
        // Other content of the same number is sent whole: the neighbours hold the former content.
        let has_same_number = hub.versions.number() == previous;
        hub.relay_version(if has_same_number { 0 } else { previous });
    }
}

/// Applies changes of the nodes' table, and sends them to the neighbours.
pub(super) fn apply_entry_changes(hub: &Hub, changes: &[Change]) {
    let mut entries = Vec::new();
    for change in changes {
        entries.extend(apply_entry_change(hub, change));
    }
    if entries.iter().any(|entry| is_outdated_own(hub, entry)) {
        // A delayed write or an older copy of the store replaced the newer entry: write it again.
        hub.announcement_due.notify_one();
    }
    if !entries.is_empty() {
        hub.apply_entries(entries.clone());
        hub.relay_entries(entries);
    }
    // The first read is of the whole table.
    hub.record_nodes();
}

/// Removes the node of a deleted row; returns the entry of a valid written row.
fn apply_entry_change(hub: &Hub, change: &Change) -> Option<Entry> {
    match change {
        Change::Written(row) => match row.parse::<Entry>() {
            Ok(entry) => return validate_row(row, entry),
            Err(error) => log::warn!(
                event = "row_rejected",
                key = row.key.as_str();
                "row ignored; it is not a valid entry: {error}"
            ),
        },
        Change::Deleted(key) => {
            let node = key
                .strip_prefix(NODE_TABLE)
                .and_then(|key| key.strip_prefix('/'));
            if let Some(node) = node {
                hub.remove_node(node);
            }
        }
    }
    None
}

/// Returns the row's entry, or `None` if the row's key is not that of the entry's node.
fn validate_row(row: &Row, entry: Entry) -> Option<Entry> {
    if row.key != entry_key(&entry.node) {
        log::warn!(
            event = "row_rejected",
            key = row.key.as_str();
            "row ignored; its entry names another node than its key"
        );
        return None;
    }
    if !entry.is_plausible() {
        log::warn!(
            event = "row_rejected",
            key = row.key.as_str();
            "row ignored; no node announces such an address or incarnation"
        );
        return None;
    }
    Some(entry)
}

/// Whether an entry from the store is an older one of this node.
fn is_outdated_own(hub: &Hub, entry: &Entry) -> bool {
    let own = hub.own_entry();
    entry.node == own.node && own.is_newer_than(entry)
}

fn entry_key(node: &str) -> String {
    format!("{NODE_TABLE}/{node}")
}

/// Reads the node's own row, which shows what an earlier process knew of the target, and then writes
/// the own entry whenever it has changed, or its row in the store was deleted, replaced by an older
/// one, or lost with an era. Ends when `stopped` closes.
pub(super) async fn announce(
    table: Arc<dyn Table>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    let mut pause = MIN_RETRY_PAUSE;
    let mut revision = None;
    // Entry that other data centres were told of because the store did not accept it.
    let mut told = None;
    let mut due = false;
    let mut eras = hub.store_era.subscribe();
    let mut era = *eras.borrow_and_update();
    loop {
        let known_era = *eras.borrow_and_update();
        if known_era != era && era > 0 {
            revision = None;
        }
        era = known_era;
        match update_own_row(table.as_ref(), &hub, &mut revision, due).await {
            Ok(is_current) => {
                pause = MIN_RETRY_PAUSE;
                if !is_current {
                    continue;
                }
                tokio::select! {
                    () = hub.announcement_due.notified() => due = true,
                    _ = eras.changed() => {
                        let spread = MAX_REWRITE_PAUSE.mul_f64(rand::random());
                        tokio::select! {
                            () = tokio::time::sleep(spread) => {}
                            () = hub.announcement_due.notified() => due = true,
                            _ = stopped.changed() => return,
                        }
                    }
                    _ = stopped.changed() => return,
                }
            }
            Err(error) => {
                log::debug!(
                    event = "announce_failed";
                    "own entry not read or written; retrying: {error}"
                );
                let entry = hub.own_entry();
                if entry.revision > 0 && told.as_ref() != Some(&entry) {
                    hub.send_to_all(entry.clone());
                    told = Some(entry);
                }
                tokio::select! {
                    () = tokio::time::sleep(jittered(pause)) => {}
                    _ = stopped.changed() => return,
                }
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Reads the node's own row if its `revision` is unknown, and writes the own entry if that is due.
/// Returns whether the row is up to date. The write requires the revision, so that an earlier write
/// which the store performs late cannot replace it.
async fn update_own_row(
    table: &dyn Table,
    hub: &Hub,
    revision: &mut Option<u64>,
    due: bool,
) -> Result<bool> {
    let key = entry_key(&hub.own_entry().node);
    let known_revision = match *revision {
        Some(known) => known,
        None => read_own_row(table, hub, &key, due).await?,
    };
    *revision = Some(known_revision);
    if !due {
        return Ok(true);
    }
    let era = hub.store_era.known();
    let entry = hub.own_entry();
    let write = Transaction::default().put(&key, &entry);
    let outcome = table
        .transact(&write.clone().require(&key, known_revision))
        .await;
    *revision = match outcome {
        Ok(written) => Some(written),
        Err(Error::Conflict(_)) if known_revision == 0 => {
            let revision_now = read_own_row(table, hub, &key, due).await?;
            if revision_now > 0 {
                *revision = Some(revision_now);
                return Ok(false);
            }
            // The row exists, but it cannot be read: another program has written it.
            Some(table.transact(&write).await?)
        }
        Err(error) => {
            *revision = None;
            return Err(error);
        }
    };
    let is_current = hub.own_entry() == entry;
    // A first era that was learned with the write is the one of the write.
    let era = if era == 0 { hub.store_era.known() } else { era };
    hub.record_stored(entry, era);
    Ok(is_current)
}

/// Applies the node's own row; returns its revision, 0 if there is none. Has an outdated row replaced,
/// unless its replacement is `due` anyway.
async fn read_own_row(table: &dyn Table, hub: &Hub, key: &str, due: bool) -> Result<u64> {
    let Some(row) = table.get(key).await? else {
        hub.record_own_row(false);
        return Ok(0);
    };
    let revision = row.revision;
    let entry = apply_entry_change(hub, &Change::Written(row));
    if !due
        && entry
            .as_ref()
            .is_some_and(|entry| is_outdated_own(hub, entry))
    {
        hub.announcement_due.notify_one();
    }
    hub.apply_entries(entry.into_iter().collect());
    hub.record_own_row(true);
    Ok(revision)
}

/// A pause that is up to 25 % shorter or longer, at random.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())
}

/// Deletes the entry of another node from the store; returns whether it is deleted. Tries once; if it
/// fails, a later sweep of the watcher tries again for a node that is unreachable, but not for one that
/// was replaced.
async fn withdraw(table: &dyn Table, node: &str) -> bool {
    let transaction = Transaction::default().delete(&entry_key(node));
    let deleted = table.transact(&transaction).await;
    if let Err(error) = &deleted {
        log::info!(
            event = "withdraw_failed";
            "entry of node '{node}' not deleted from the store: {error}"
        );
    }
    deleted.is_ok()
}

/// Pings the neighbours that rank above this node, until `stopped` closes.
pub(super) async fn ping_neighbours(hub: Arc<Hub>, mut stopped: watch::Receiver<()>) {
    loop {
        hub.ping_neighbours();
        tokio::select! {
            () = tokio::time::sleep(PING_PERIOD) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Deletes the entries of lost nodes while this node is the watcher, until `stopped` closes.
pub(super) async fn remove_lost_nodes(
    table: Arc<dyn Table>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_PERIOD) => {}
            _ = stopped.changed() => return,
        }
        for node in hub.find_lost_nodes() {
            log::info!(
                event = "node_lost",
                node = node.as_str();
                "node is unreachable or was replaced; deleting its entry"
            );
            if withdraw(table.as_ref(), &node).await {
                // The feed says nothing if the row was deleted before.
                hub.remove_node(&node);
            }
        }
    }
}

/// Queries random other nodes while the store is unreachable, the first version is overdue, or a
/// node is known to have a higher version, until `stopped` closes. Requests their entries too while
/// few nodes are known, and includes the seeds then.
pub(super) async fn query_peers(
    seeds: Vec<Arc<crate::link::Link>>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    let started = Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(jittered(QUERY_PERIOD)) => {}
            _ = stopped.changed() => return,
        }
        let source_down = !hub.source_reachable();
        let version_not_overdue =
            hub.versions.number() > 0 || started.elapsed() < FIRST_VERSION_GRACE;
        if !source_down && !hub.is_behind() && version_not_overdue {
            continue;
        }
        let links = hub.directory.links();
        let few_nodes_known = links.len() < PEERS_PER_QUERY;
        let mut candidates: Vec<_> = links
            .into_iter()
            .filter(|link| !link.is_unreachable())
            .collect();
        if few_nodes_known {
            candidates.extend(seeds.iter().cloned());
        }
        for _ in 0..PEERS_PER_QUERY {
            if candidates.is_empty() {
                break;
            }
            let link = candidates.swap_remove(rand::random_range(0..candidates.len()));
            if few_nodes_known {
                link.fetch_status_and_roster();
            } else {
                link.ping();
            }
        }
    }
}
