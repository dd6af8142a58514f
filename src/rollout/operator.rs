//! Operators' actions on the rollout. Each is one conditional transaction on the rollout row and
//! the row of the version.

use bytes::Bytes;

use crate::bundle::{self, Bundle, Digest, Signer, Version};
use crate::error::{Error, Result};
use crate::rollout::archive::{
    self, MAX_ATTEMPTS, RETRY_PAUSE, object_name, read_rollout, retry, set_phase,
};
use crate::rollout::cache::decompress;
use crate::rollout::state::{
    Action, Candidate, LastAction, Phase, Release, Rollout, VersionRecord,
};
use crate::rollout::{REPORT_PREFIX, ROLLOUT_KEY, Report, bundle_key};
use crate::store::{Platform, Row, Transaction};

/// State of the rollout across all data centres.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// The rollout row.
    pub rollout: Rollout,
    /// One report per data centre, sorted by name.
    pub reports: Vec<Report>,
}

impl Status {
    /// Number of nodes on which the accepted version is in force, and number of all nodes that
    /// answered.
    #[must_use]
    pub fn in_force(&self) -> (usize, usize) {
        let version = self.rollout.active_version();
        let tallies = || self.reports.iter().map(|report| &report.tally);
        let current = tallies().filter_map(|tally| tally.in_force.get(&version));
        (
            current.sum(),
            tallies().map(crate::rollout::Tally::responded).sum(),
        )
    }
}

/// Client for an operator's actions at the platform.
pub struct Operator {
    platform: Platform,
    name: String,
}

/// The rollout row and the row of one version, read for one transaction.
struct Snapshot {
    rollout: Rollout,
    rollout_revision: u64,
    record: Option<VersionRecord>,
    record_revision: u64,
}

/// The rows that an action writes.
struct Change {
    rollout: Rollout,
    record: VersionRecord,
}

impl Operator {
    /// Creates a client for the operator `name`.
    #[must_use]
    pub fn new(platform: Platform, name: &str) -> Self {
        let name = name.to_owned();
        Self { platform, name }
    }

    /// Stores `bundle` as a draft and returns its version number.
    ///
    /// `base` is the version that the bundle was made from, by default the version in force.
    ///
    /// # Errors
    /// [`Error::Bundle`] if it is too large, [`Error::Conflict`] if `base` is no longer in
    /// force, [`Error::Unavailable`] if the platform does not answer.
    pub async fn push(&self, bundle: &Bundle, base: Option<Version>) -> Result<Version> {
        let bytes = Bytes::from(bundle::encode(bundle)?);
        let digest = Digest::of(&bytes);
        archive::store(&self.platform, &bytes, digest).await?;
        self.apply_new(|snapshot| {
            check_base(&snapshot.rollout, base)?;
            let record = self.new_record(&snapshot.rollout, digest, bytes.len());
            Ok(self.prepare_change(&snapshot.rollout, Action::Push, record))
        })
        .await
    }

    /// Signs `version` without starting its rollout. Nodes may require more signatures.
    ///
    /// # Errors
    /// [`Error::State`] if the version is neither a draft nor signed.
    pub async fn sign(&self, version: Version, signer: &Signer) -> Result<Version> {
        self.apply_to(version, |snapshot, mut record| {
            expect_phase(&record, &[Phase::Draft, Phase::Signed])?;
            add_signature(&mut record, signer);
            record.phase = Phase::Signed;
            Ok(Change {
                rollout: snapshot.rollout.clone(),
                record,
            })
        })
        .await
    }

    /// Signs `version` and starts its rollout.
    ///
    /// # Errors
    /// [`Error::Conflict`] if another version is rolling or was accepted since this one was made;
    /// the message names the operator who acted. [`Error::State`] if the version is neither a draft
    /// nor signed.
    pub async fn approve(&self, version: Version, signer: &Signer) -> Result<Version> {
        self.apply_to(version, |snapshot, mut record| {
            expect_phase(&record, &[Phase::Draft, Phase::Signed])?;
            check_no_candidate(&snapshot.rollout)?;
            check_base(&snapshot.rollout, Some(record.base))?;
            add_signature(&mut record, signer);
            Ok(self.start_rollout(&snapshot.rollout, Action::Approve, record))
        })
        .await
    }

    /// Withdraws `version` before it comes into force; nodes discard it.
    ///
    /// # Errors
    /// [`Error::State`] if the version was already accepted, stopped or superseded.
    pub async fn stop(&self, version: Version) -> Result<Version> {
        self.apply_to(version, |snapshot, mut record| {
            if record.phase == Phase::Accepted {
                let message = format!("version {version} is in force; supersede it instead");
                return Err(Error::State(message));
            }
            expect_phase(&record, &[Phase::Draft, Phase::Signed, Phase::Preparing])?;
            let mut rollout = snapshot.rollout.clone();
            rollout
                .candidate
                .take_if(|candidate| candidate.release.version == version);
            record.phase = Phase::Stopped;
            Ok(self.prepare_change(&rollout, Action::Stop, record))
        })
        .await
    }

    /// Starts the rollout of `bundle` as a new version with the highest number, in place of the
    /// current candidate and the version in force.
    ///
    /// # Errors
    /// [`Error::Bundle`] if it is too large, [`Error::Unavailable`] if the platform does not
    /// answer.
    pub async fn supersede(&self, bundle: &Bundle, signer: &Signer) -> Result<Version> {
        let bytes = Bytes::from(bundle::encode(bundle)?);
        let digest = Digest::of(&bytes);
        archive::store(&self.platform, &bytes, digest).await?;
        self.apply_new(|snapshot| {
            let mut record = self.new_record(&snapshot.rollout, digest, bytes.len());
            add_signature(&mut record, signer);
            Ok(self.start_rollout(&snapshot.rollout, Action::Supersede, record))
        })
        .await
    }

    /// Reads the bundle of `version` from the object store.
    ///
    /// # Errors
    /// [`Error::State`] if there is no such version.
    pub async fn read_bundle(&self, version: Version) -> Result<Bundle> {
        let record = self.read_version_record(version).await?;
        let digest = record.release.digest;
        let compressed = self.platform.objects.fetch(&object_name(digest)).await?;
        let compressed = compressed.ok_or_else(|| {
            Error::State(format!("object store has no bundle with digest {digest}"))
        })?;
        bundle::decode(&decompress(&compressed, None)?, digest)
    }

    /// Reads the row of `version`.
    ///
    /// # Errors
    /// [`Error::State`] if there is no such version.
    pub async fn read_version_record(&self, version: Version) -> Result<VersionRecord> {
        let row = self.platform.table.get(&bundle_key(version)).await?;
        let row = row.ok_or_else(|| Error::State(format!("there is no version {version}")))?;
        row.parse()
    }

    /// Reads the rollout row and the data centres' reports.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if the platform does not answer.
    pub async fn status(&self) -> Result<Status> {
        let (rollout, _) = read_rollout(&self.platform).await?;
        let rows = self.platform.table.scan(REPORT_PREFIX).await?;
        let reports = rows.iter().map(Row::parse).collect::<Result<_>>()?;
        Ok(Status { rollout, reports })
    }

    fn new_record(&self, rollout: &Rollout, digest: Digest, size: usize) -> VersionRecord {
        let release = Release {
            version: rollout.highest.next(),
            digest,
            size,
            signatures: Vec::new(),
        };
        VersionRecord {
            release,
            phase: Phase::Draft,
            base: rollout.active_version(),
            pushed_by: self.name.clone(),
            operations: Vec::new(),
        }
    }

    /// The rows to write for an action on the version of `record`.
    fn prepare_change(&self, rollout: &Rollout, action: Action, record: VersionRecord) -> Change {
        let version = record.release.version;
        let mut rollout = rollout.clone();
        rollout.highest = rollout.highest.max(version);
        rollout.last = Some(LastAction {
            operator: self.name.clone(),
            action,
            version,
        });
        Change { rollout, record }
    }

    /// The rows to write for an action that makes the version of `record` the candidate.
    fn start_rollout(
        &self,
        rollout: &Rollout,
        action: Action,
        mut record: VersionRecord,
    ) -> Change {
        let mut rollout = rollout.clone();
        rollout.candidate = Some(Candidate {
            release: record.release.clone(),
            approved_by: self.name.clone(),
        });
        record.phase = Phase::Preparing;
        self.prepare_change(&rollout, action, record)
    }

    /// Applies an action to the existing `version`.
    async fn apply_to(
        &self,
        version: Version,
        decide: impl Fn(&Snapshot, VersionRecord) -> Result<Change>,
    ) -> Result<Version> {
        self.run_transaction(Some(version), |snapshot| {
            let record = snapshot.record.clone();
            let record =
                record.ok_or_else(|| Error::State(format!("there is no version {version}")))?;
            decide(snapshot, record)
        })
        .await
    }

    /// Applies an action that creates a version.
    async fn apply_new(&self, decide: impl Fn(&Snapshot) -> Result<Change>) -> Result<Version> {
        self.run_transaction(None, decide).await
    }

    /// Reads the rows, calls `decide` and writes the result conditionally. After a conflict or a
    /// lost answer, the retry first looks for the operation id in the version's row, so that an
    /// action that took effect is not applied twice.
    async fn run_transaction(
        &self,
        version: Option<Version>,
        decide: impl Fn(&Snapshot) -> Result<Change>,
    ) -> Result<Version> {
        let operation = rand::random();
        let mut attempted = version;
        for attempt in 0..MAX_ATTEMPTS {
            let snapshot = retry(|| self.read_snapshot(attempted)).await?;
            let stored = snapshot.record.as_ref();
            if attempt > 0 && stored.is_some_and(|record| record.operations.contains(&operation)) {
                return Ok(attempted.unwrap_or_default());
            }
            let change = decide(&snapshot)?;
            let changed = change.record.release.version;
            attempted = Some(changed);
            match self.write(&snapshot, &change, operation).await {
                Ok(()) => return Ok(changed),
                Err(Error::Conflict(_)) => {}
                Err(Error::Unavailable(_)) => tokio::time::sleep(RETRY_PAUSE).await,
                Err(error) => return Err(error),
            }
        }
        Err(Error::Unavailable(
            "action not confirmed, but may have taken effect; check 'status' before retrying"
                .into(),
        ))
    }

    async fn write(&self, snapshot: &Snapshot, change: &Change, operation: u64) -> Result<()> {
        let mut record = change.record.clone();
        record.operations.push(operation);
        let version = record.release.version;
        let key = bundle_key(version);
        let stored = snapshot.record.as_ref().map(|d| d.release.version);
        let revision = if stored == Some(version) {
            snapshot.record_revision
        } else {
            0
        };
        let mut transaction = Transaction::default()
            .require(ROLLOUT_KEY, snapshot.rollout_revision)
            .put(ROLLOUT_KEY, &change.rollout)
            .require(&key, revision)
            .put(&key, &record);
        let replaced = replaced_candidate(&snapshot.rollout, &change.rollout);
        if let Some(replaced) = replaced.filter(|replaced| *replaced != version) {
            let phase = Phase::Superseded;
            transaction = set_phase(&self.platform, transaction, replaced, phase).await?;
        }
        self.platform.table.transact(&transaction).await.map(|_| ())
    }

    async fn read_snapshot(&self, version: Option<Version>) -> Result<Snapshot> {
        let (rollout, rollout_revision) = read_rollout(&self.platform).await?;
        let row = match version {
            Some(version) => self.platform.table.get(&bundle_key(version)).await?,
            None => None,
        };
        Ok(Snapshot {
            rollout,
            rollout_revision,
            record_revision: row.as_ref().map_or(0, |row| row.revision),
            record: row.map(|row| row.parse()).transpose()?,
        })
    }
}

/// The candidate of `before` if `after` has another one or none.
fn replaced_candidate(before: &Rollout, after: &Rollout) -> Option<Version> {
    let version = |rollout: &Rollout| rollout.candidate.as_ref().map(|c| c.release.version);
    version(before).filter(|_| version(before) != version(after))
}

fn add_signature(record: &mut VersionRecord, signer: &Signer) {
    let signatures = &mut record.release.signatures;
    signatures.retain(|signature| signature.operator != signer.operator());
    signatures.push(signer.sign(record.release.version, record.release.digest));
}

fn expect_phase(record: &VersionRecord, expected: &[Phase]) -> Result<()> {
    if expected.contains(&record.phase) {
        return Ok(());
    }
    let version = record.release.version;
    Err(Error::State(format!(
        "version {version} is {}",
        record.phase
    )))
}

fn check_base(rollout: &Rollout, base: Option<Version>) -> Result<()> {
    let active = rollout.active_version();
    match base {
        Some(base) if base != active => Err(Error::Conflict(format!(
            "made from version {base}, but version {active} is in force ({}); push again",
            describe_last_action(rollout)
        ))),
        _ => Ok(()),
    }
}

fn check_no_candidate(rollout: &Rollout) -> Result<()> {
    match &rollout.candidate {
        None => Ok(()),
        Some(candidate) => Err(Error::Conflict(format!(
            "version {} by {} is rolling; stop or supersede it",
            candidate.release.version, candidate.approved_by
        ))),
    }
}

fn describe_last_action(rollout: &Rollout) -> String {
    let last = rollout.last.as_ref();
    last.map_or_else(|| "no operator has acted yet".into(), ToString::to_string)
}
