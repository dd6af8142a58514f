//! The registrar's tasks that use the platform: follow the rollout row and the lease rows, drive
//! the rollout, write reports. They run separately, so that a slow platform blocks nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::error::Error;
use crate::node::core::Core;
use crate::rollout::{Driver, Head, ROLLOUT_KEY, Report, Rollout, report_key};
use crate::store::{Holder, LEASE_PREFIX, Row, Transaction};

const PREPARING_POLL_PERIOD: Duration = Duration::from_millis(50);
const REGISTRARS_REFRESH_PERIOD: Duration = Duration::from_secs(2);
/// A data centre counts as gone once its lease was not renewed for this many terms.
const LEASE_TERMS_UNTIL_GONE: u32 = 2;
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Polls the rollout row and applies it on this node, from which the members then fetch bundles.
pub(super) async fn follow_rollout(core: Arc<Core>, holder: Holder) {
    loop {
        match core.platform.table.get(ROLLOUT_KEY).await {
            Ok(Some(row)) => update_head(&core, &row),
            Ok(None) => {}
            Err(_) => core.counters.count("platform_failures"),
        }
        if !core.agent.has_applied_head() {
            catch_up(&core, &holder).await;
        }
        let preparing = core.agent.head().candidate.is_some();
        let poll = core.settings.timing.poll;
        tokio::time::sleep(if preparing {
            PREPARING_POLL_PERIOD.min(poll)
        } else {
            poll
        })
        .await;
    }
}

fn update_head(core: &Core, row: &Row) {
    match row.parse::<Rollout>() {
        Ok(rollout) => {
            core.agent.update_head(&Head::new(&rollout, row.revision));
        }
        Err(error) => log::warn!("rollout row cannot be parsed; ignoring it: {error}"),
    }
}

/// Applies the head. The first registrar of a region fetches bundles from the object store, the
/// others from that registrar, and from the object store only if that fails.
async fn catch_up(core: &Arc<Core>, holder: &Holder) {
    let registrars = core.registrars();
    let mut same_region = registrars
        .iter()
        .filter(|other| other.region == holder.region);
    let first = same_region.next();
    let first_if_other = first.filter(|first| first.node != holder.node);
    let peers = first_if_other.iter().map(|first| first.mesh).collect();
    core.agent
        .catch_up(&core.sources(peers, first_if_other.is_none()))
        .await;
    if !core.agent.has_applied_head() {
        core.agent.catch_up(&core.sources(Vec::new(), true)).await;
    }
}

/// Periodically reads the registrars of all data centres from the lease rows. A row that is no
/// longer renewed belongs to a data centre that is gone, and is left out.
pub(super) async fn refresh_registrars(core: Arc<Core>) {
    let max_age = core.settings.timing.lease_term * LEASE_TERMS_UNTIL_GONE;
    // Revision of each lease row, and when this node first saw it.
    let mut renewals: HashMap<String, (u64, Instant)> = HashMap::new();
    loop {
        if let Ok(rows) = core.platform.table.scan(LEASE_PREFIX).await {
            let mut holders = Vec::new();
            for row in &rows {
                let renewal = renewals.entry(row.key.clone());
                let renewal = renewal.or_insert((row.revision, Instant::now()));
                if renewal.0 != row.revision {
                    *renewal = (row.revision, Instant::now());
                }
                if renewal.1.elapsed() < max_age {
                    holders.extend(row.parse::<Holder>());
                }
            }
            core.set_registrars(holders);
        }
        tokio::time::sleep(REGISTRARS_REFRESH_PERIOD).await;
    }
}

/// Drives the rollout while this registrar is the first of all registrars.
pub(super) async fn drive_rollout(core: Arc<Core>, holder: Holder) {
    let mut driver = Driver::new(core.platform.clone(), core.settings.timing.prepare_bound);
    loop {
        tokio::time::sleep(PREPARING_POLL_PERIOD).await;
        let registrars = core.registrars();
        let is_first = registrars
            .first()
            .is_none_or(|first| first.node == holder.node);
        if !is_first || core.agent.head().candidate.is_none() {
            continue;
        }
        let data_centers: Vec<String> = registrars.iter().map(|h| h.data_center.clone()).collect();
        if let Err(error) = driver.step(&data_centers).await {
            log::debug!("rollout step failed; retrying: {error}");
        }
    }
}

/// Writes the latest report to the platform whenever it has changed. Ends with the registrar's
/// task, which sends the reports.
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
                log::debug!(
                    "writing the report of {} failed: {error}",
                    report.data_center
                );
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
