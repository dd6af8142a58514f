//! One claim shard on its owner: an index in memory, backed by a write-ahead journal with group
//! commits.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

use crate::claim::RETENTION;
use crate::claim::journal::{Entry, Journal};
use crate::error::{Error, Result};
use crate::store::Table;
use crate::wire::{Claim, Grant, Outcome, RecordedResponse, Settlement};

const MAX_BATCH_ENTRIES: usize = 512;
/// Minimum time between commits, in which claims gather for the next batch.
const COMMIT_PERIOD: Duration = Duration::from_millis(40);
/// Time for which a repeated claim waits for the answer to the first request.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Writes that may wait for the journal. Beyond it, claims are refused and settlements are only
/// kept in memory.
const QUEUE_CAPACITY: usize = 16_384;
const SWEEP_PERIOD: Duration = Duration::from_secs(30);

/// Progress of the request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim is being written to the journal.
    Writing,
    /// The claim was granted, so the request may have been dispatched.
    Dispatched,
    /// The request ran and returned this answer.
    Answered(RecordedResponse),
}

/// State of a claimed key.
#[derive(Clone, Debug)]
struct KeyState {
    fingerprint: u64,
    /// Attempt of the claim, by which a repeated message is told from a repeated request.
    attempt: u64,
    phase: Phase,
    /// When the claim came in or was read from the journal.
    since: Instant,
}

/// Entry to be written to the journal; a claim is answered once it is written.
enum Write {
    Claim(Claim, oneshot::Sender<Grant>),
    Settle(Settlement),
}

type Index = Mutex<HashMap<String, KeyState>>;

/// A claim shard on its owner.
pub(super) struct Shard {
    index: Arc<Index>,
    writes: mpsc::Sender<Write>,
    replaced: Arc<AtomicBool>,
    /// Wakes claims that wait for a settlement.
    settled: watch::Sender<()>,
}

impl Shard {
    /// Rebuilds the index from the journal of earlier owners.
    pub(super) async fn load(
        table: Arc<dyn Table>,
        number: u32,
        epoch: u64,
        owner_revision: u64,
    ) -> Result<Self> {
        let (journal, entries) = Journal::open(table, number, epoch, owner_revision).await?;
        let index: Arc<Index> = Arc::default();
        for entry in entries {
            apply_entry(&mut lock(&index), entry);
        }
        let (writes, queue) = mpsc::channel(QUEUE_CAPACITY);
        let replaced = Arc::new(AtomicBool::new(false));
        tokio::spawn(run_writer(journal, index.clone(), queue, replaced.clone()));
        Ok(Self {
            index,
            writes,
            replaced,
            settled: watch::Sender::new(()),
        })
    }

    /// Whether another owner has replaced this one.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced.load(Ordering::Relaxed)
    }

    /// Grants the first claim on a key; a repeat waits up to [`SETTLEMENT_TIMEOUT`] for the
    /// recorded answer.
    pub(super) async fn claim(&self, claim: Claim) -> Grant {
        let mut settled = self.settled.subscribe();
        let wait_until = Instant::now() + SETTLEMENT_TIMEOUT;
        loop {
            settled.mark_unchanged();
            match self.check_or_reserve(&claim) {
                Some(Grant::Dispatched) if Instant::now() < wait_until => {
                    let _ = tokio::time::timeout_at(wait_until.into(), settled.changed()).await;
                }
                Some(grant) => return grant,
                None => return self.write_claim(claim).await,
            }
        }
    }

    /// Records the outcome of a granted request.
    pub(super) fn settle(&self, settlement: Settlement) {
        apply_entry(&mut lock(&self.index), Entry::Settled(settlement.clone()));
        let _ = self.writes.try_send(Write::Settle(settlement));
        self.settled.send_replace(());
    }

    /// Looks up a claim in the index. If its key is free, reserves it and returns `None`; the claim
    /// must then be written.
    fn check_or_reserve(&self, claim: &Claim) -> Option<Grant> {
        let mut index = lock(&self.index);
        let existing = index
            .get(&claim.key)
            .filter(|state| state.since.elapsed() < RETENTION);
        if let Some(state) = existing {
            return Some(match &state.phase {
                _ if state.fingerprint != claim.fingerprint => Grant::Mismatch,
                // The answer with the grant was lost, so this attempt has not been dispatched yet.
                Phase::Dispatched if state.attempt == claim.attempt => Grant::Granted,
                Phase::Answered(recorded) => Grant::Answered(recorded.clone()),
                Phase::Writing | Phase::Dispatched => Grant::Dispatched,
            });
        }
        let state = KeyState {
            fingerprint: claim.fingerprint,
            attempt: claim.attempt,
            phase: Phase::Writing,
            since: Instant::now(),
        };
        index.insert(claim.key.clone(), state);
        None
    }

    /// Queues a claim for the journal and waits until it is written.
    async fn write_claim(&self, claim: Claim) -> Grant {
        let (reply, grant) = oneshot::channel();
        let key = claim.key.clone();
        if self.writes.try_send(Write::Claim(claim, reply)).is_err() {
            lock(&self.index).remove(&key);
            return Grant::Unavailable;
        }
        let no_reply = if self.is_replaced() {
            Grant::NotOwner
        } else {
            Grant::Unavailable
        };
        let grant = grant.await.unwrap_or(no_reply);
        if grant != Grant::Granted {
            self.settled.send_replace(());
        }
        grant
    }
}

/// Task that writes claims and settlements in batches. Ends when the shard is dropped or its owner
/// is replaced.
async fn run_writer(
    mut journal: Journal,
    index: Arc<Index>,
    mut queue: mpsc::Receiver<Write>,
    replaced: Arc<AtomicBool>,
) {
    let mut batch = Vec::new();
    let mut last_sweep = Instant::now();
    while queue.recv_many(&mut batch, MAX_BATCH_ENTRIES).await > 0 {
        let batch_start = Instant::now();
        let entries: Vec<Entry> = batch.iter().map(Write::entry).collect();
        let outcome = journal.append(&entries).await;
        let conflict = matches!(outcome, Err(Error::Conflict(_)));
        for write in batch.drain(..) {
            complete_write(&index, write, &outcome);
        }
        if conflict {
            replaced.store(true, Ordering::Relaxed);
            return;
        }
        if last_sweep.elapsed() > SWEEP_PERIOD {
            last_sweep = Instant::now();
            lock(&index).retain(|_, state| state.since.elapsed() < RETENTION);
        }
        tokio::time::sleep(COMMIT_PERIOD.saturating_sub(batch_start.elapsed())).await;
    }
}

impl Write {
    fn entry(&self) -> Entry {
        match self {
            Self::Claim(claim, _) => Entry::Claimed(claim.clone()),
            Self::Settle(settlement) => Entry::Settled(settlement.clone()),
        }
    }
}

/// Applies the outcome of a write to the index and answers the claim. A granted claim whose caller
/// no longer waits is removed, as nobody will dispatch its request.
fn complete_write(index: &Index, write: Write, outcome: &Result<()>) {
    let Write::Claim(claim, reply) = write else {
        return;
    };
    let mut index = lock(index);
    let grant = match outcome {
        Ok(()) => {
            if let Some(state) = index.get_mut(&claim.key) {
                state.phase = Phase::Dispatched;
            }
            Grant::Granted
        }
        Err(error) => {
            index.remove(&claim.key);
            match error {
                Error::Conflict(_) => Grant::NotOwner,
                _ => Grant::Unavailable,
            }
        }
    };
    if reply.send(grant.clone()).is_err() && grant == Grant::Granted {
        index.remove(&claim.key);
    }
}

/// Applies one journal entry to the index.
fn apply_entry(index: &mut HashMap<String, KeyState>, entry: Entry) {
    match entry {
        Entry::Claimed(claim) => {
            let state = KeyState {
                fingerprint: claim.fingerprint,
                attempt: claim.attempt,
                phase: Phase::Dispatched,
                since: Instant::now(),
            };
            index.insert(claim.key, state);
        }
        Entry::Settled(settlement) => {
            let existing = index.get_mut(&settlement.key);
            let Some(state) = existing.filter(|state| state.attempt == settlement.attempt) else {
                return;
            };
            match settlement.outcome {
                Outcome::Answered(recorded) => state.phase = Phase::Answered(recorded),
                Outcome::NotRun => {
                    index.remove(&settlement.key);
                }
                Outcome::MayHaveRun => {}
            }
        }
    }
}

fn lock(index: &Index) -> std::sync::MutexGuard<'_, HashMap<String, KeyState>> {
    index.lock().unwrap_or_else(PoisonError::into_inner)
}
