//! Who owns a claim shard: one row per shard. A registrar appoints an owner when asked for one,
//! and a new one, under a higher epoch, only after it has found the last one dead itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jsonrpsee_http_client::HttpClient;

use crate::error::Result;
use crate::peers::Peers;
use crate::rollout::ring_position;
use crate::roster::{Member, Presence};
use crate::store::{Table, Transaction};
use crate::wire::{ControlClient as _, Owner, OwnerQuery};

const CACHE_TERM: Duration = Duration::from_secs(5);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
const PROBES: u32 = 2;

/// Key of the row that names a shard's owner.
pub(super) fn owner_key(shard: u32) -> String {
    format!("claim/owner/{shard:04}")
}

/// Reads a shard's owner and the revision of its row.
pub(super) async fn read(table: &dyn Table, shard: u32) -> Result<Option<(Owner, u64)>> {
    match table.get(&owner_key(shard)).await? {
        Some(row) => Ok(Some((row.parse()?, row.revision))),
        None => Ok(None),
    }
}

/// A value that is trusted for a limited time.
struct Cached<T> {
    value: T,
    since: Instant,
}

/// A registrar's knowledge of the shards' owners.
pub(super) struct Assignments {
    table: Arc<dyn Table>,
    peers: Arc<Peers>,
    cache: Mutex<HashMap<u32, Cached<Owner>>>,
}

impl Assignments {
    pub(super) fn new(table: Arc<dyn Table>, peers: Arc<Peers>) -> Self {
        Self {
            table,
            peers,
            cache: Mutex::new(HashMap::new()),
        }
    }

    pub(super) async fn owner(&self, members: &[Arc<Member>], query: OwnerQuery) -> Option<Owner> {
        let cached = self.cached(query.shard);
        if cached.is_some() && cached != query.failed {
            return cached;
        }
        let row = read(&*self.table, query.shard).await.ok()?;
        let owner = match row {
            Some((owner, _)) if Some(&owner) != query.failed.as_ref() => owner,
            Some((owner, _)) if self.is_alive(&owner).await => owner,
            row => self.appoint(members, query.shard, row).await?,
        };
        let entry = Cached {
            value: owner.clone(),
            since: Instant::now(),
        };
        self.lock().insert(query.shard, entry);
        Some(owner)
    }

    /// Writes a new owner under the next epoch; if another registrar was faster, its choice holds.
    async fn appoint(
        &self,
        members: &[Arc<Member>],
        shard: u32,
        last: Option<(Owner, u64)>,
    ) -> Option<Owner> {
        let dead = last.as_ref().map(|(owner, _)| owner.node.clone());
        let member = choose(members, shard, dead.as_deref())?;
        let owner = Owner {
            node: member.node.clone(),
            control: member.control,
            epoch: last.as_ref().map_or(0, |(owner, _)| owner.epoch) + 1,
        };
        let key = owner_key(shard);
        let transaction = Transaction::default()
            .require(&key, last.map_or(0, |(_, revision)| revision))
            .put(&key, &owner);
        let _ = self.table.transact(&transaction).await;
        let (owner, _) = read(&*self.table, shard).await.ok()??;
        log::info!("claim shard {shard} is owned by {}", owner.node);
        Some(owner)
    }

    async fn is_alive(&self, owner: &Owner) -> bool {
        for _ in 0..PROBES {
            let call = async |client: HttpClient| client.probe().await;
            let answer = self.peers.call(owner.control, PROBE_TIMEOUT, call).await;
            if answer.is_ok_and(|alive| alive.node == owner.node) {
                return true;
            }
        }
        false
    }

    fn cached(&self, shard: u32) -> Option<Owner> {
        let cache = self.lock();
        let entry = cache.get(&shard)?;
        (entry.since.elapsed() < CACHE_TERM).then(|| entry.value.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u32, Cached<Owner>>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Spreads shards over the serving members of the registrar's data centre.
fn choose(members: &[Arc<Member>], shard: u32, dead: Option<&str>) -> Option<Arc<Member>> {
    let serving = members.iter().filter(|m| m.presence == Presence::Serving);
    let alive = serving.filter(|member| Some(member.node.as_str()) != dead);
    let best = alive.max_by_key(|member| ring_position(u64::from(shard) + 1, &member.node));
    best.cloned()
}
