//! Following the platform's store: the newest version and the other nodes' entries; writing the
//! node's own entry; asking other nodes while the store is away.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::error::Result;
use crate::link::Entry;
use crate::sidecar::hub::Hub;
use crate::sidecar::watcher::{PING_PERIOD, SWEEP_PERIOD};
use crate::store::{Change, Changes, Feed, Row, Table, Transaction};

/// Table of the nodes' entries.
pub(crate) const NODES: &str = "nodes";
/// How the watcher asks for the changes of a table.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// How long one question waits for changes. A store that has gone silent is noticed after it.
    wait: Duration,
    /// Pause after changes, so that a quick series is read as one.
    pause: Duration,
    /// Whether this table is asked for while the store is away, to notice its return.
    probes: bool,
}

/// For the operators' versions, which have to be in force soon.
pub(super) const VERSIONS: Pace = Pace {
    wait: Duration::from_millis(700),
    pause: Duration::from_millis(150),
    probes: true,
};
/// For the nodes' entries: a node that leaves refuses work by itself, and neighbours are told.
pub(super) const ENTRIES: Pace = Pace {
    wait: Duration::from_secs(5),
    pause: Duration::from_secs(1),
    probes: false,
};
/// How often a node looks whether it has become the watcher.
const ROLE_PERIOD: Duration = Duration::from_millis(100);
/// Pauses after failures, doubled each time up to the last.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(800));
/// Longest pause of a follower, below the time in which entries have to be back after an outage.
const MAX_FOLLOW_PAUSE: Duration = Duration::from_millis(1_600);
/// How often other nodes are asked while the store is away or some node has a higher version.
const CONSULT_PERIOD: Duration = Duration::from_millis(400);
/// Nodes asked each time.
const CONSULTED: usize = 2;
/// Time for the store to bring the first version before other nodes are asked for it although the
/// store answers: a herd of nodes that start together would overload the seeds.
const FIRST_VERSION_GRACE: Duration = Duration::from_millis(1_500);

/// Follows one table while this node is the watcher, until `stopped` closes. Goes on after every
/// failure.
pub(super) async fn follow(
    feed: Arc<dyn Feed>,
    table: &'static str,
    pace: Pace,
    hub: Arc<Hub>,
    take: impl Fn(&Hub, &[Change]) + Send + Sync,
    mut stopped: watch::Receiver<()>,
) {
    let mut pause = RETRY_PAUSE.0;
    let mut position = None;
    loop {
        let away = !hub.store_answers.load(Ordering::Relaxed);
        if !hub.is_watcher() || away && !pace.probes {
            position = None;
            tokio::select! {
                () = tokio::time::sleep(ROLE_PERIOD) => continue,
                _ = stopped.changed() => return,
            }
        }
        let step = step(feed.as_ref(), table, pace, &hub, &take, position);
        let step = tokio::select! {
            step = step => step,
            _ = stopped.changed() => return,
        };
        match step {
            Ok(next) => {
                note_store(&hub, None);
                position = next;
                pause = RETRY_PAUSE.0;
                tokio::time::sleep(pace.pause).await;
            }
            Err(error) => {
                note_store(&hub, Some(&error));
                tokio::time::sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
                pause = (pause * 2).min(max_pause(hub.rank()));
            }
        }
    }
}

/// Longest pause before the node at `rank` asks a store again that is away. Every node of a data
/// centre asks then; the first in rank notices its return soonest and becomes the watcher.
fn max_pause(rank: usize) -> Duration {
    let factor = u32::try_from(rank).unwrap_or(u32::MAX).saturating_add(1);
    RETRY_PAUSE.1.saturating_mul(factor).min(MAX_FOLLOW_PAUSE)
}

/// Reads a snapshot, or the changes after a position; returns the next position.
async fn step(
    feed: &dyn Feed,
    table: &str,
    pace: Pace,
    hub: &Hub,
    take: &impl Fn(&Hub, &[Change]),
    position: Option<u64>,
) -> Result<Option<u64>> {
    let Some(position) = position else {
        let snapshot = feed.snapshot(table).await?;
        let rows: Vec<Change> = snapshot.rows.into_iter().map(Change::Written).collect();
        take(hub, &rows);
        return Ok(Some(snapshot.position));
    };
    match feed.changes(table, position, pace.wait).await? {
        Changes::Batch { changes, position } => {
            take(hub, &changes);
            Ok(Some(position))
        }
        Changes::HistoryLost => {
            log::info!(event = "history_lost", table = table; "reading the whole table");
            Ok(None)
        }
    }
}

fn note_store(hub: &Hub, error: Option<&crate::Error>) {
    let answers = error.is_none();
    if hub.store_answers.swap(answers, Ordering::Relaxed) == answers {
        return;
    }
    match error {
        None => log::info!(event = "store_regained"; ""),
        Some(error) => log::warn!(event = "store_lost"; "{error}"),
    }
}

/// Takes changes of the operators' table, and passes the newest version on.
pub(super) fn take_version(hub: &Hub, changes: &[Change], key: &str) {
    let before = hub.versions.number();
    for change in changes {
        if let Change::Written(row) = change
            && row.key == key
        {
            hub.versions.take(row.value.as_bytes(), "store");
        }
    }
    if hub.versions.number() > before {
        hub.pass_on_version(before);
    }
}

/// Takes changes of the nodes' table, and passes them on.
pub(super) fn take_entries(hub: &Hub, changes: &[Change]) {
    let mut entries = Vec::new();
    for change in changes {
        entries.extend(take_entry(hub, change));
    }
    if !entries.is_empty() {
        hub.learn_entries(entries.clone());
        hub.pass_on_entries(entries);
    }
}

fn take_entry(hub: &Hub, change: &Change) -> Option<Entry> {
    match change {
        Change::Written(row) => match row.parse::<Entry>() {
            Ok(entry) => return check_row(hub, row, entry),
            Err(error) => log::warn!(event = "row_rejected", key = row.key.as_str(); "{error}"),
        },
        Change::Deleted(key) => {
            let node = key
                .strip_prefix(NODES)
                .and_then(|key| key.strip_prefix('/'));
            if let Some(node) = node {
                hub.forget(node);
            }
        }
    }
    None
}

fn check_row(hub: &Hub, row: &Row, entry: Entry) -> Option<Entry> {
    if row.key != key(&entry.node) {
        log::warn!(event = "row_rejected", key = row.key.as_str(); "it names another node");
        return None;
    }
    let own = hub.own();
    if entry.node == own.node && own.is_newer_than(&entry) {
        // A late write replaced the newer one.
        hub.announce.notify_one();
    }
    Some(entry)
}

fn key(node: &str) -> String {
    format!("{NODES}/{node}")
}

/// Writes the node's own entry whenever it has changed, until `stopped` closes.
pub(super) async fn announce(
    table: Arc<dyn Table>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    let mut pause = RETRY_PAUSE.0;
    loop {
        tokio::select! {
            () = hub.announce.notified() => {}
            _ = stopped.changed() => return,
        }
        loop {
            let entry = hub.own();
            let transaction = Transaction::default().put(&key(&entry.node), &entry);
            match table.transact(&transaction).await {
                Ok(_) => {
                    pause = RETRY_PAUSE.0;
                    if hub.own() == entry {
                        break;
                    }
                }
                Err(error) => {
                    log::debug!(event = "announce_failed"; "{error}");
                    tokio::time::sleep(pause.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
                    pause = (pause * 2).min(RETRY_PAUSE.1);
                }
            }
        }
    }
}

/// Deletes a node's entry. Tries once: what is missed is found again later.
pub(super) async fn withdraw(table: &dyn Table, node: &str) {
    let transaction = Transaction::default().delete(&key(node));
    if let Err(error) = table.transact(&transaction).await {
        log::info!(event = "withdraw_failed"; "{error}");
    }
}

/// Asks the neighbours for signs of life, until `stopped` closes.
pub(super) async fn watch_neighbours(hub: Arc<Hub>, mut stopped: watch::Receiver<()>) {
    loop {
        hub.ping_neighbours();
        tokio::select! {
            () = tokio::time::sleep(PING_PERIOD) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Deletes the entries of nodes that are lost, while this node is the watcher, until `stopped`
/// closes.
pub(super) async fn sweep(table: Arc<dyn Table>, hub: Arc<Hub>, mut stopped: watch::Receiver<()>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_PERIOD) => {}
            _ = stopped.changed() => return,
        }
        for node in hub.lost_nodes() {
            log::info!(event = "node_lost", node = node.as_str(); "its entry is deleted");
            withdraw(table.as_ref(), &node).await;
        }
    }
}

/// Asks other nodes while the store is away, while the first version does not come, or while some
/// node is known to have a higher one.
pub(super) async fn consult(
    seeds: Vec<Arc<crate::link::Link>>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    let started = Instant::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(CONSULT_PERIOD.mul_f64(0.75 + 0.5 * rand::random::<f64>())) => {}
            _ = stopped.changed() => return,
        }
        let away = !hub.source_reachable();
        let patient = hub.versions.number() > 0 || started.elapsed() < FIRST_VERSION_GRACE;
        if !away && !hub.is_behind() && patient {
            continue;
        }
        let links = hub.directory.links();
        let few = links.len() < CONSULTED;
        let mut chosen: Vec<_> = links.into_iter().filter(|l| !l.is_unreachable()).collect();
        if few {
            chosen.extend(seeds.iter().cloned());
        }
        for _ in 0..CONSULTED {
            if chosen.is_empty() {
                break;
            }
            let link = chosen.swap_remove(rand::random_range(0..chosen.len()));
            if few { link.consult() } else { link.ping() }
        }
    }
}
