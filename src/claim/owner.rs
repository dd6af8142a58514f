//! Ownership of claim shards, stored in one row per shard. A registrar assigns an owner when a node
//! asks for one. It replaces an owner, under a higher epoch, only after its own probes of that
//! owner have failed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use jsonrpsee_http_client::HttpClient;

use crate::error::Result;
use crate::peers::Peers;
use crate::rollout::ring_position;
use crate::roster::{Member, Presence};
use crate::store::{Table, Transaction};
use crate::wire::{ControlClient as _, Owner, OwnerQuery};

/// Time for which a registrar answers from its cache.
const CACHE_TTL: Duration = Duration::from_secs(5);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Probes that must all fail before an owner counts as failed.
const PROBE_ATTEMPTS: u32 = 2;
/// Candidates for an ownership that are probed at a time.
const CONCURRENT_CANDIDATES: usize = 3;

/// Key of the row that holds a shard's owner.
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

struct CacheEntry<T> {
    value: T,
    stored_at: Instant,
}

/// Looks up and assigns shard owners on a registrar.
pub(super) struct Assignments {
    table: Arc<dyn Table>,
    peers: Arc<Peers>,
    cache: Mutex<HashMap<u32, CacheEntry<Owner>>>,
}

impl Assignments {
    pub(super) fn new(table: Arc<dyn Table>, peers: Arc<Peers>) -> Self {
        Self {
            table,
            peers,
            cache: Mutex::new(HashMap::new()),
        }
    }

    /// Owner of the queried shard. If the query names it as failed, it is replaced unless it still
    /// answers probes.
    pub(super) async fn owner(&self, members: &[Arc<Member>], query: OwnerQuery) -> Option<Owner> {
        let cached = self.cached(query.shard);
        if cached.is_some() && cached != query.failed {
            return cached;
        }
        let row = read(&*self.table, query.shard).await.ok()?;
        let owner = match row {
            Some((owner, _)) if Some(&owner) != query.failed.as_ref() => owner,
            Some((owner, _)) if self.is_alive(&owner).await => owner,
            row => self.assign(members, query.shard, row).await?,
        };
        let cache_entry = CacheEntry {
            value: owner.clone(),
            stored_at: Instant::now(),
        };
        self.lock().insert(query.shard, cache_entry);
        Some(owner)
    }

    /// Writes a new owner under the next epoch; if another registrar wrote one first, that one is
    /// returned. `None` if no member answers.
    async fn assign(
        &self,
        members: &[Arc<Member>],
        shard: u32,
        previous: Option<(Owner, u64)>,
    ) -> Option<Owner> {
        let failed_node = previous.as_ref().map(|(owner, _)| owner.node.clone());
        let epoch = previous.as_ref().map_or(0, |(owner, _)| owner.epoch) + 1;
        let candidates = rank_members(members, shard, failed_node.as_deref());
        let owner = self.first_alive(candidates, epoch).await?;
        let key = owner_key(shard);
        let transaction = Transaction::default()
            .require(&key, previous.map_or(0, |(_, revision)| revision))
            .put(&key, &owner);
        let _ = self.table.transact(&transaction).await;
        let (owner, _) = read(&*self.table, shard).await.ok()??;
        log::info!("claim shard {shard} is now owned by node {}", owner.node);
        Some(owner)
    }

    /// The first of the candidates that answers a probe, as the owner in an epoch. Members that have
    /// failed are listed until their absence is noticed.
    async fn first_alive(&self, candidates: Vec<Arc<Member>>, epoch: u64) -> Option<Owner> {
        let probed = candidates.into_iter().map(|member| async move {
            let owner = Owner {
                node: member.node.clone(),
                control: member.control,
                epoch,
            };
            self.is_alive(&owner).await.then_some(owner)
        });
        let alive = stream::iter(probed)
            .buffered(CONCURRENT_CANDIDATES)
            .filter_map(std::future::ready);
        std::pin::pin!(alive).next().await
    }

    async fn is_alive(&self, owner: &Owner) -> bool {
        for _ in 0..PROBE_ATTEMPTS {
            let call = async |client: HttpClient| client.probe().await;
            let answer = self.peers.call(owner.control, PROBE_TIMEOUT, call).await;
            if answer.is_ok_and(|response| response.node == owner.node) {
                return true;
            }
        }
        false
    }

    fn cached(&self, shard: u32) -> Option<Owner> {
        let cache = self.lock();
        let entry = cache.get(&shard)?;
        (entry.stored_at.elapsed() < CACHE_TTL).then(|| entry.value.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u32, CacheEntry<Owner>>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serving members of the registrar's data centre other than the failed one, in the order in which
/// they are to own the shard; shards are spread over the members.
fn rank_members(
    members: &[Arc<Member>],
    shard: u32,
    failed_node: Option<&str>,
) -> Vec<Arc<Member>> {
    let serving = members.iter().filter(|m| m.presence == Presence::Serving);
    let candidates = serving.filter(|member| Some(member.node.as_str()) != failed_node);
    let mut ranked: Vec<Arc<Member>> = candidates.cloned().collect();
    ranked
        .sort_by_key(|member| std::cmp::Reverse(ring_position(u64::from(shard) + 1, &member.node)));
    ranked
}
