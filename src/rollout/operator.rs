//! Operators' actions on the rollout. Each is one conditional write of the rollout row.

use bytes::Bytes;

use crate::bundle::{self, Bundle, Digest, Signer, Version};
use crate::error::{Error, Result};
use crate::rollout::archive::{
    self, MAX_TRIES, RETRY_PAUSE, object_name, read_rollout, retry, set_phase,
};
use crate::rollout::shelf::decompress;
use crate::rollout::state::{Action, Candidate, Draft, LastAction, Phase, Release, Rollout};
use crate::rollout::{REPORT_PREFIX, ROLLOUT_KEY, Report, bundle_key};
use crate::store::{Platform, Row, Transaction};

/// What an operator sees of a roll.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// The rollout row.
    pub rollout: Rollout,
    /// One report per data centre, in name order.
    pub reports: Vec<Report>,
}

impl Status {
    /// Number of nodes that answered and have the accepted version in force, and of all nodes
    /// that answered.
    #[must_use]
    pub fn in_force(&self) -> (usize, usize) {
        let version = self.rollout.active_version();
        let tallies = || self.reports.iter().map(|report| &report.tally);
        let current = tallies().filter_map(|tally| tally.in_force.get(&version));
        (
            current.sum(),
            tallies().map(crate::rollout::Tally::heard).sum(),
        )
    }
}

/// One operator at the platform.
pub struct Operator {
    platform: Platform,
    name: String,
}

/// The rollout row and the row of one version, as read together.
struct View {
    rollout: Rollout,
    rollout_revision: u64,
    draft: Option<Draft>,
    draft_revision: u64,
}

/// What an action wants written.
struct Change {
    rollout: Rollout,
    draft: Draft,
}

impl Operator {
    /// An operator called `name`.
    #[must_use]
    pub fn new(platform: Platform, name: &str) -> Self {
        let name = name.to_owned();
        Self { platform, name }
    }

    /// Stores `bundle` as a draft and returns its version number.
    ///
    /// `base` is the version the draft was made from; the version in force where absent.
    ///
    /// # Errors
    /// [`Error::Bundle`] if it is too large, [`Error::Conflict`] if `base` is not in force any
    /// more, [`Error::Unavailable`] if the platform does not answer.
    pub async fn push(&self, bundle: &Bundle, base: Option<Version>) -> Result<Version> {
        let bytes = Bytes::from(bundle::encode(bundle)?);
        let digest = Digest::of(&bytes);
        archive::store(&self.platform, &bytes, digest).await?;
        self.act(|view| {
            check_base(&view.rollout, base)?;
            let draft = self.draft(&view.rollout, digest, bytes.len());
            Ok(self.change(&view.rollout, Action::Push, draft))
        })
        .await
    }

    /// Signs `version`; more signatures may be needed before nodes take it.
    ///
    /// # Errors
    /// [`Error::State`] if the version is not a draft or signed.
    pub async fn sign(&self, version: Version, signer: &Signer) -> Result<Version> {
        self.act_on(version, |view, mut draft| {
            expect_phase(&draft, &[Phase::Draft, Phase::Signed])?;
            add_signature(&mut draft, signer);
            draft.phase = Phase::Signed;
            Ok(Change {
                rollout: view.rollout.clone(),
                draft,
            })
        })
        .await
    }

    /// Signs `version` and starts to roll it.
    ///
    /// # Errors
    /// [`Error::Conflict`] if another version is rolling or was accepted since this one was made;
    /// the text says who won. [`Error::State`] if the version cannot be rolled.
    pub async fn approve(&self, version: Version, signer: &Signer) -> Result<Version> {
        self.act_on(version, |view, mut draft| {
            expect_phase(&draft, &[Phase::Draft, Phase::Signed])?;
            check_free(&view.rollout)?;
            check_base(&view.rollout, Some(draft.base))?;
            add_signature(&mut draft, signer);
            Ok(self.start(&view.rollout, Action::Approve, draft))
        })
        .await
    }

    /// Withdraws `version` before it is in force; no node keeps a trace of it.
    ///
    /// # Errors
    /// [`Error::State`] if the version is not rolling, for example because it was accepted.
    pub async fn stop(&self, version: Version) -> Result<Version> {
        self.act_on(version, |view, mut draft| {
            if draft.phase == Phase::Accepted {
                let message = format!("version {version} is in force; supersede it instead");
                return Err(Error::State(message));
            }
            expect_phase(&draft, &[Phase::Draft, Phase::Signed, Phase::Preparing])?;
            let mut rollout = view.rollout.clone();
            rollout
                .candidate
                .take_if(|candidate| candidate.release.version == version);
            draft.phase = Phase::Stopped;
            Ok(self.change(&rollout, Action::Stop, draft))
        })
        .await
    }

    /// Rolls the content of `bundle` as a new version above all others, in place of whatever is
    /// rolling or in force.
    ///
    /// # Errors
    /// As [`Operator::push`].
    pub async fn supersede(&self, bundle: &Bundle, signer: &Signer) -> Result<Version> {
        let bytes = Bytes::from(bundle::encode(bundle)?);
        let digest = Digest::of(&bytes);
        archive::store(&self.platform, &bytes, digest).await?;
        self.act(|view| {
            let mut draft = self.draft(&view.rollout, digest, bytes.len());
            add_signature(&mut draft, signer);
            Ok(self.start(&view.rollout, Action::Supersede, draft))
        })
        .await
    }

    /// Reads the content of `version` back.
    ///
    /// # Errors
    /// [`Error::State`] if there is no such version.
    pub async fn content(&self, version: Version) -> Result<Bundle> {
        let draft = self.read_draft(version).await?;
        let digest = draft.release.digest;
        let packed = self.platform.objects.fetch(&object_name(digest)).await?;
        let packed = packed.ok_or_else(|| Error::State(format!("no object for {digest}")))?;
        bundle::decode(&decompress(&packed, None)?, digest)
    }

    /// Reads the row of `version`.
    ///
    /// # Errors
    /// [`Error::State`] if there is no such version.
    pub async fn read_draft(&self, version: Version) -> Result<Draft> {
        let row = self.platform.table.get(&bundle_key(version)).await?;
        let row = row.ok_or_else(|| Error::State(format!("there is no version {version}")))?;
        row.parse()
    }

    /// Reads the rollout and the data centres' reports.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if the platform does not answer.
    pub async fn status(&self) -> Result<Status> {
        let (rollout, _) = read_rollout(&self.platform).await?;
        let rows = self.platform.table.scan(REPORT_PREFIX).await?;
        let reports = rows.iter().map(Row::parse).collect::<Result<_>>()?;
        Ok(Status { rollout, reports })
    }

    fn draft(&self, rollout: &Rollout, digest: Digest, size: usize) -> Draft {
        let release = Release {
            version: rollout.highest.next(),
            digest,
            size,
            signatures: Vec::new(),
        };
        Draft {
            release,
            phase: Phase::Draft,
            base: rollout.active_version(),
            pushed_by: self.name.clone(),
            operations: Vec::new(),
        }
    }

    fn change(&self, rollout: &Rollout, action: Action, draft: Draft) -> Change {
        let version = draft.release.version;
        let mut rollout = rollout.clone();
        rollout.highest = rollout.highest.max(version);
        rollout.last = Some(LastAction {
            operator: self.name.clone(),
            action,
            version,
        });
        Change { rollout, draft }
    }

    fn start(&self, rollout: &Rollout, action: Action, mut draft: Draft) -> Change {
        let mut rollout = rollout.clone();
        rollout.candidate = Some(Candidate {
            release: draft.release.clone(),
            approved_by: self.name.clone(),
        });
        draft.phase = Phase::Preparing;
        self.change(&rollout, action, draft)
    }

    async fn act_on(
        &self,
        version: Version,
        decide: impl Fn(&View, Draft) -> Result<Change>,
    ) -> Result<Version> {
        self.run(Some(version), |view| {
            let draft = view.draft.clone();
            let draft =
                draft.ok_or_else(|| Error::State(format!("there is no version {version}")))?;
            decide(view, draft)
        })
        .await
    }

    async fn act(&self, decide: impl Fn(&View) -> Result<Change>) -> Result<Version> {
        self.run(None, decide).await
    }

    /// Reads, decides and writes conditionally. A write whose answer was lost, or that lost
    /// against another one, is settled by looking for its operation id before it is decided anew.
    async fn run(
        &self,
        version: Option<Version>,
        decide: impl Fn(&View) -> Result<Change>,
    ) -> Result<Version> {
        let operation = rand::random();
        let mut attempted = version;
        for attempt in 0..MAX_TRIES {
            let view = retry(|| self.view(attempted)).await?;
            let done = view.draft.as_ref();
            if attempt > 0 && done.is_some_and(|draft| draft.operations.contains(&operation)) {
                return Ok(attempted.unwrap_or_default());
            }
            let change = decide(&view)?;
            let target = change.draft.release.version;
            attempted = Some(target);
            match self.write(&view, &change, operation).await {
                Ok(()) => return Ok(target),
                Err(Error::Conflict(_)) => {}
                Err(Error::Unavailable(_)) => tokio::time::sleep(RETRY_PAUSE).await,
                Err(error) => return Err(error),
            }
        }
        Err(Error::Unavailable(
            "the platform did not confirm the action; look at 'status' before trying again".into(),
        ))
    }

    async fn write(&self, view: &View, change: &Change, operation: u64) -> Result<()> {
        let mut draft = change.draft.clone();
        draft.operations.push(operation);
        let version = draft.release.version;
        let key = bundle_key(version);
        let known = view.draft.as_ref().map(|d| d.release.version);
        let revision = if known == Some(version) {
            view.draft_revision
        } else {
            0
        };
        let mut transaction = Transaction::default()
            .require(ROLLOUT_KEY, view.rollout_revision)
            .put(ROLLOUT_KEY, &change.rollout)
            .require(&key, revision)
            .put(&key, &draft);
        let replaced = replaced_candidate(&view.rollout, &change.rollout);
        if let Some(replaced) = replaced.filter(|replaced| *replaced != version) {
            let phase = Phase::Superseded;
            transaction = set_phase(&self.platform, transaction, replaced, phase).await?;
        }
        self.platform.table.transact(&transaction).await.map(|_| ())
    }

    async fn view(&self, version: Option<Version>) -> Result<View> {
        let (rollout, rollout_revision) = read_rollout(&self.platform).await?;
        let row = match version {
            Some(version) => self.platform.table.get(&bundle_key(version)).await?,
            None => None,
        };
        Ok(View {
            rollout,
            rollout_revision,
            draft_revision: row.as_ref().map_or(0, |row| row.revision),
            draft: row.map(|row| row.parse()).transpose()?,
        })
    }
}

fn replaced_candidate(before: &Rollout, after: &Rollout) -> Option<Version> {
    let version = |rollout: &Rollout| rollout.candidate.as_ref().map(|c| c.release.version);
    version(before).filter(|_| version(before) != version(after))
}

fn add_signature(draft: &mut Draft, signer: &Signer) {
    let signatures = &mut draft.release.signatures;
    signatures.retain(|signature| signature.operator != signer.operator());
    signatures.push(signer.sign(draft.release.version, draft.release.digest));
}

fn expect_phase(draft: &Draft, expected: &[Phase]) -> Result<()> {
    if expected.contains(&draft.phase) {
        return Ok(());
    }
    let version = draft.release.version;
    Err(Error::State(format!(
        "version {version} is {}",
        draft.phase
    )))
}

fn check_base(rollout: &Rollout, base: Option<Version>) -> Result<()> {
    let active = rollout.active_version();
    match base {
        Some(base) if base != active => Err(Error::Conflict(format!(
            "made from version {base}, but version {active} is in force ({}); push again",
            winner(rollout)
        ))),
        _ => Ok(()),
    }
}

fn check_free(rollout: &Rollout) -> Result<()> {
    match &rollout.candidate {
        None => Ok(()),
        Some(candidate) => Err(Error::Conflict(format!(
            "version {} by {} is rolling; stop or supersede it",
            candidate.release.version, candidate.approved_by
        ))),
    }
}

fn winner(rollout: &Rollout) -> String {
    let last = rollout.last.as_ref();
    last.map_or_else(|| "nobody acted yet".into(), ToString::to_string)
}
