//! What a registrar does at the platform: follow the rollout row and the lease rows, drive rolls,
//! write reports. Each is a task of its own, so that a slow platform holds up nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::error::Error;
use crate::node::core::Core;
use crate::rollout::{Driver, Head, ROLLOUT_KEY, Report, Rollout, report_key};
use crate::store::{Holder, LEASE_PREFIX, Row, Transaction};

const PREPARING_POLL: Duration = Duration::from_millis(50);
const DIRECTORY_PERIOD: Duration = Duration::from_secs(2);
const TERMS_UNTIL_GONE: u32 = 2;
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads the rollout row, and carries it out on this node first.
pub(super) async fn follow_rollout(core: Arc<Core>, holder: Holder) {
    loop {
        match core.platform.table.get(ROLLOUT_KEY).await {
            Ok(Some(row)) => learn_rollout(&core, &row),
            Ok(None) => {}
            Err(_) => core.counters.count("platform_failures"),
        }
        if !core.agent.settled() {
            catch_up(&core, &holder).await;
        }
        let preparing = core.agent.head().candidate.is_some();
        let poll = core.settings.timing.poll;
        tokio::time::sleep(if preparing {
            PREPARING_POLL.min(poll)
        } else {
            poll
        })
        .await;
    }
}

fn learn_rollout(core: &Core, row: &Row) {
    match row.parse::<Rollout>() {
        Ok(rollout) => {
            core.agent.learn(&Head::new(&rollout, row.revision));
        }
        Err(error) => log::warn!("{error}"),
    }
}

/// Fetches what the head names: from the object store if this node leads its region, else from
/// the node that does, and from the store only if that fails.
async fn catch_up(core: &Arc<Core>, holder: &Holder) {
    let directory = core.directory();
    let mut leads = directory
        .iter()
        .filter(|other| other.region == holder.region);
    let lead = leads.next().filter(|lead| lead.node != holder.node);
    let peers = lead.iter().map(|lead| lead.mesh).collect();
    core.agent
        .catch_up(&core.sources(peers, lead.is_none()))
        .await;
    if !core.agent.settled() {
        core.agent.catch_up(&core.sources(Vec::new(), true)).await;
    }
}

/// Keeps the list of all data centres' registrars. A row that is not renewed for long belongs to
/// a data centre that is gone, and is left out.
pub(super) async fn list_registrars(core: Arc<Core>) {
    let limit = core.settings.timing.lease_term * TERMS_UNTIL_GONE;
    let mut renewed: HashMap<String, (u64, Instant)> = HashMap::new();
    loop {
        if let Ok(rows) = core.platform.table.scan(LEASE_PREFIX).await {
            let mut holders = Vec::new();
            for row in &rows {
                let seen = renewed.entry(row.key.clone());
                let seen = seen.or_insert((row.revision, Instant::now()));
                if seen.0 != row.revision {
                    *seen = (row.revision, Instant::now());
                }
                if seen.1.elapsed() < limit {
                    holders.extend(row.parse::<Holder>());
                }
            }
            core.set_directory(holders);
        }
        tokio::time::sleep(DIRECTORY_PERIOD).await;
    }
}

/// Drives rolls while this registrar is the first in the directory.
pub(super) async fn drive(core: Arc<Core>, holder: Holder) {
    let mut driver = Driver::new(core.platform.clone(), core.settings.timing.prepare_bound);
    loop {
        tokio::time::sleep(PREPARING_POLL).await;
        let directory = core.directory();
        let first = directory
            .first()
            .is_none_or(|first| first.node == holder.node);
        if !first || core.agent.head().candidate.is_none() {
            continue;
        }
        let centers: Vec<String> = directory.iter().map(|h| h.data_center.clone()).collect();
        if let Err(error) = driver.step(&centers).await {
            log::debug!("driving the roll: {error}");
        }
    }
}

/// Writes the latest report to the platform whenever it has changed. Ends when the lead is gone.
pub(super) async fn write_reports(core: Arc<Core>, mut latest: watch::Receiver<Report>) {
    while latest.changed().await.is_ok() {
        loop {
            let report = latest.borrow_and_update().clone();
            let key = report_key(&report.data_center);
            let written = match core.lease.fence(Transaction::default().put(&key, &report)) {
                Ok(transaction) => core.platform.table.transact(&transaction).await.map(|_| ()),
                Err(error) => Err(error),
            };
            if let Err(error) = &written {
                log::debug!("report of {}: {error}", report.data_center);
            }
            match written {
                Err(Error::Unavailable(_) | Error::State(_)) => {
                    tokio::time::sleep(REPORT_RETRY_PAUSE).await;
                }
                _ => break,
            }
        }
    }
}
