//! Accepts a candidate once the nodes have prepared it. Runs beside every registrar's lease;
//! acceptance is one conditional write, so that any number of drivers is harmless.

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

/// What the reports say about a candidate.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Every node that was heard from is ready, or the bound has passed.
    Accept,
    /// Some nodes are not ready yet.
    Wait,
    /// A node refused it; operators must stop or supersede it.
    Hold,
}

/// Follows one candidate at a time.
pub(crate) struct Driver {
    platform: Platform,
    bound: Duration,
    current: Option<(Version, Instant)>,
}

impl Driver {
    /// A driver that waits at most `bound` for nodes that are heard from but not ready.
    pub(crate) fn new(platform: Platform, bound: Duration) -> Self {
        Self {
            platform,
            bound,
            current: None,
        }
    }

    /// Looks at the candidate once; `data_centers` are those whose registrar is alive.
    pub(crate) async fn step(&mut self, data_centers: &[String]) -> Result<()> {
        let (rollout, revision) = read_rollout(&self.platform).await?;
        let Some(candidate) = &rollout.candidate else {
            self.current = None;
            return Ok(());
        };
        let version = candidate.release.version;
        let since = match self.current {
            Some((current, since)) if current == version => since,
            _ => Instant::now(),
        };
        self.current = Some((version, since));
        let rows = self.platform.table.scan(REPORT_PREFIX).await?;
        let reports: Vec<Report> = rows.iter().map(Row::parse).collect::<Result<_>>()?;
        let late = since.elapsed() > self.bound;
        if decide(version, revision, &reports, data_centers, late) == Decision::Accept {
            self.accept(version).await?;
        }
        Ok(())
    }

    /// Puts `version` in force. Losing against another driver or an operator is no fault.
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
                log::info!("version {version} accepted");
                Ok(())
            }
            Err(Error::Conflict(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Decides on a candidate from the reports made for the rollout row at `revision`.
pub(crate) fn decide(
    version: Version,
    revision: u64,
    reports: &[Report],
    data_centers: &[String],
    late: bool,
) -> Decision {
    let current: Vec<&Report> = reports
        .iter()
        .filter(|report| report.revision == revision)
        .collect();
    let refused = |tally: &Tally| tally.refused_by.iter().any(|r| r.version == version);
    if current.iter().any(|report| refused(&report.tally)) {
        return Decision::Hold;
    }
    let ready: usize = current.iter().map(|r| r.tally.ready_for(version)).sum();
    let heard: usize = current.iter().map(|r| r.tally.heard()).sum();
    let awaiting: usize = current.iter().map(|r| r.tally.awaiting_targets).sum();
    let reported = |name: &String| current.iter().any(|report| report.data_center == *name);
    let complete = data_centers.iter().all(reported) && ready == heard && awaiting == 0;
    if ready > 0 && (complete || late) {
        return Decision::Accept;
    }
    Decision::Wait
}
