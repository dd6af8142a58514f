//! The owner's side of one claim shard: an index in memory, written ahead in group commits.

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

const MAX_BATCH: usize = 512;
const COMMIT_PERIOD: Duration = Duration::from_millis(40);
const SETTLE_WAIT: Duration = Duration::from_secs(2);
const QUEUE: usize = 16_384;
const SWEEP_PERIOD: Duration = Duration::from_secs(30);

/// What is known about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim is being written.
    Writing,
    /// The request was dispatched, or may have been.
    Dispatched,
    /// The request ran and this was its answer.
    Answered(RecordedResponse),
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: u64,
    attempt: u64,
    phase: Phase,
    since: Instant,
}

/// Work for the task that writes the journal.
enum Work {
    Claim(Claim, oneshot::Sender<Grant>),
    Settle(Settlement),
}

type Index = Mutex<HashMap<String, Record>>;

/// One shard on its owner.
pub(super) struct Shard {
    index: Arc<Index>,
    work: mpsc::Sender<Work>,
    deposed: Arc<AtomicBool>,
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
            replay(&mut lock(&index), entry);
        }
        let (work, queue) = mpsc::channel(QUEUE);
        let deposed = Arc::new(AtomicBool::new(false));
        tokio::spawn(write(journal, index.clone(), queue, deposed.clone()));
        Ok(Self {
            index,
            work,
            deposed,
            settled: watch::Sender::new(()),
        })
    }

    /// Whether another owner has taken over.
    pub(super) fn deposed(&self) -> bool {
        self.deposed.load(Ordering::Relaxed)
    }

    /// Grants the claim to the first asker; a repeat waits a while for the recorded answer.
    pub(super) async fn claim(&self, claim: Claim) -> Grant {
        let mut settled = self.settled.subscribe();
        let give_up = Instant::now() + SETTLE_WAIT;
        loop {
            settled.mark_unchanged();
            match self.look_up(&claim) {
                Some(Grant::Dispatched) if Instant::now() < give_up => {
                    let _ = tokio::time::timeout_at(give_up.into(), settled.changed()).await;
                }
                Some(grant) => return grant,
                None => return self.write(claim).await,
            }
        }
    }

    /// Notes what became of a granted request.
    pub(super) fn settle(&self, settlement: Settlement) {
        replay(&mut lock(&self.index), Entry::Settled(settlement.clone()));
        let _ = self.work.try_send(Work::Settle(settlement));
        self.settled.send_replace(());
    }

    /// What the index says; `None` if the key is free and is now marked as being written.
    fn look_up(&self, claim: &Claim) -> Option<Grant> {
        let mut index = lock(&self.index);
        let known = index
            .get(&claim.key)
            .filter(|record| record.since.elapsed() < RETENTION);
        if let Some(record) = known {
            return Some(match &record.phase {
                _ if record.fingerprint != claim.fingerprint => Grant::Mismatch,
                // The grant was lost on its way to this asker, who has not dispatched yet.
                Phase::Dispatched if record.attempt == claim.attempt => Grant::Granted,
                Phase::Answered(recorded) => Grant::Answered(recorded.clone()),
                Phase::Writing | Phase::Dispatched => Grant::Dispatched,
            });
        }
        let record = Record {
            fingerprint: claim.fingerprint,
            attempt: claim.attempt,
            phase: Phase::Writing,
            since: Instant::now(),
        };
        index.insert(claim.key.clone(), record);
        None
    }

    async fn write(&self, claim: Claim) -> Grant {
        let (reply, granted) = oneshot::channel();
        let key = claim.key.clone();
        if self.work.try_send(Work::Claim(claim, reply)).is_err() {
            lock(&self.index).remove(&key);
            return Grant::Unavailable;
        }
        let ended = if self.deposed() {
            Grant::NotOwner
        } else {
            Grant::Unavailable
        };
        let grant = granted.await.unwrap_or(ended);
        if grant != Grant::Granted {
            self.settled.send_replace(());
        }
        grant
    }
}

/// Writes claims and settlements in batches. Ends when the shard is dropped or replaced.
async fn write(
    mut journal: Journal,
    index: Arc<Index>,
    mut queue: mpsc::Receiver<Work>,
    deposed: Arc<AtomicBool>,
) {
    let mut batch = Vec::new();
    let mut swept = Instant::now();
    while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let began = Instant::now();
        let entries: Vec<Entry> = batch.iter().map(Work::entry).collect();
        let outcome = journal.append(&entries).await;
        let replaced = matches!(outcome, Err(Error::Conflict(_)));
        for work in batch.drain(..) {
            finish(&index, work, &outcome);
        }
        if replaced {
            deposed.store(true, Ordering::Relaxed);
            return;
        }
        if swept.elapsed() > SWEEP_PERIOD {
            swept = Instant::now();
            lock(&index).retain(|_, record| record.since.elapsed() < RETENTION);
        }
        tokio::time::sleep(COMMIT_PERIOD.saturating_sub(began.elapsed())).await;
    }
}

impl Work {
    fn entry(&self) -> Entry {
        match self {
            Self::Claim(claim, _) => Entry::Claimed(claim.clone()),
            Self::Settle(settlement) => Entry::Settled(settlement.clone()),
        }
    }
}

/// Carries out a written batch in memory and answers the askers.
fn finish(index: &Index, work: Work, outcome: &Result<()>) {
    let Work::Claim(claim, reply) = work else {
        return;
    };
    let mut index = lock(index);
    let grant = match outcome {
        Ok(()) => {
            if let Some(record) = index.get_mut(&claim.key) {
                record.phase = Phase::Dispatched;
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

/// Brings one journal entry into the index.
fn replay(index: &mut HashMap<String, Record>, entry: Entry) {
    match entry {
        Entry::Claimed(claim) => {
            let record = Record {
                fingerprint: claim.fingerprint,
                attempt: claim.attempt,
                phase: Phase::Dispatched,
                since: Instant::now(),
            };
            index.insert(claim.key, record);
        }
        Entry::Settled(settlement) => {
            let known = index.get_mut(&settlement.key);
            let Some(record) = known.filter(|r| r.attempt == settlement.attempt) else {
                return;
            };
            match settlement.outcome {
                Outcome::Answered(recorded) => record.phase = Phase::Answered(recorded),
                Outcome::NotRun => {
                    index.remove(&settlement.key);
                }
                Outcome::MayHaveRun => {}
            }
        }
    }
}

fn lock(index: &Index) -> std::sync::MutexGuard<'_, HashMap<String, Record>> {
    index.lock().unwrap_or_else(PoisonError::into_inner)
}
