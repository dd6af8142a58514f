//! Accepts a candidate once the nodes have prepared it.
//!
//! Every registrar has a driver. Acceptance is a single conditional write, so several drivers that
//! run at the same time do no harm.

use std::time::{Duration, Instant};

use crate::bundle::Version;
use crate::error::{Error, Result};
use crate::rollout::archive::{read_rollout, set_phase};
use crate::rollout::state::Phase;
use crate::rollout::{REPORT_PREFIX, ROLLOUT_KEY, Report, Tally};
use crate::store::{Platform, Row, Transaction};

/// Key of a data centre's report row.
pub(crate) fn report_key(data_center: &str) -> String {
    format!("{REPORT_PREFIX}{data_center}")
}

/// What to do with a candidate, as derived from the reports.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Put it in force: every node that answered is ready, or the deadline has passed and at least
    /// one node is ready.
    Accept,
    /// Wait for nodes that are not ready or for data centres without a report.
    Wait,
    /// Do not accept: a node refused it, and an operator must stop or supersede it.
    Hold,
}

/// Decides on the current candidate in steps and puts it in force.
pub(crate) struct Driver {
    platform: Platform,
    max_wait: Duration,
    /// The current candidate and when this driver first saw it.
    current: Option<(Version, Instant)>,
}

impl Driver {
    /// Creates a driver that waits at most `max_wait` for nodes that are not ready and for data
    /// centres without a report.
    pub(crate) fn new(platform: Platform, max_wait: Duration) -> Self {
        Self {
            platform,
            max_wait,
            current: None,
        }
    }

    /// Reads the candidate and the reports, and accepts the candidate if it is due. `data_centers`
    /// are those with a live registrar.
    pub(crate) async fn step(&mut self, data_centers: &[String]) -> Result<()> {
        let (rollout, revision) = read_rollout(&self.platform).await?;
        let Some(candidate) = &rollout.candidate else {
            self.current = None;
            return Ok(());
        };
        let version = candidate.release.version;
        let first_seen = match self.current {
            Some((current, first_seen)) if current == version => first_seen,
            _ => Instant::now(),
        };
        self.current = Some((version, first_seen));
        let rows = self.platform.table.scan(REPORT_PREFIX).await?;
        let reports: Vec<Report> = rows.iter().map(Row::parse).collect::<Result<_>>()?;
        let deadline_passed = first_seen.elapsed() > self.max_wait;
        if decide(version, revision, &reports, data_centers, deadline_passed) == Decision::Accept {
            self.accept(version).await?;
        }
        Ok(())
    }

    /// Puts `version` in force. A conflict with another driver or an operator is not an error.
    async fn accept(&self, version: Version) -> Result<()> {
        let (mut rollout, revision) = read_rollout(&self.platform).await?;
        let candidate = rollout.candidate.take_if(|c| c.release.version == version);
        let Some(candidate) = candidate else {
            return Ok(());
        };
        let previous = rollout.active.replace(candidate.release);
        let mut transaction = Transaction::default()
            .require(ROLLOUT_KEY, revision)
            .put(ROLLOUT_KEY, &rollout);
        let previous = previous.map(|release| (release.version, Phase::Superseded));
        for (version, phase) in previous.into_iter().chain([(version, Phase::Accepted)]) {
            transaction = set_phase(&self.platform, transaction, version, phase).await?;
        }
        match self.platform.table.transact(&transaction).await {
            Ok(_) => {
                log::info!("version {version} accepted; nodes put it in force");
                Ok(())
            }
            Err(Error::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Decides on the candidate `version` from those reports that refer to the rollout row at
/// `revision`.
pub(crate) fn decide(
    version: Version,
    revision: u64,
    reports: &[Report],
    data_centers: &[String],
    deadline_passed: bool,
) -> Decision {
    let current: Vec<&Report> = reports
        .iter()
        .filter(|report| report.revision == revision)
        .collect();
    let has_refusal = |tally: &Tally| tally.refused_by.iter().any(|r| r.version == version);
    if current.iter().any(|report| has_refusal(&report.tally)) {
        return Decision::Hold;
    }
    let ready: usize = current.iter().map(|r| r.tally.ready_for(version)).sum();
    let responded: usize = current.iter().map(|r| r.tally.responded()).sum();
    let awaiting: usize = current.iter().map(|r| r.tally.awaiting_targets).sum();
    let reported = |name: &String| current.iter().any(|report| report.data_center == *name);
    let complete = data_centers.iter().all(reported) && ready == responded && awaiting == 0;
    if ready > 0 && (complete || deadline_passed) {
        return Decision::Accept;
    }
    Decision::Wait
}
