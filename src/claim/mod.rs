//! Claims on idempotency keys: a non-idempotent request is dispatched only under a claim on its
//! key, so that it runs at most once. Keys hash to shards; each shard has one owner, fenced by an
//! epoch in the platform's table.

mod journal;
mod owner;
mod shard;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use jsonrpsee_http_client::HttpClient;
use xxhash_rust::xxh3::xxh3_64;

use crate::claim::owner::Assignments;
use crate::claim::shard::Shard;
use crate::peers::Peers;
use crate::roster::Member;
use crate::store::Table;
use crate::wire::{Claim, ControlClient as _, Grant, Owner, OwnerQuery, Settlement};

/// Number of claim shards. Stored claims depend on it: with another number, keys would map to
/// other shards.
pub(crate) const SHARDS: u32 = 16;
/// Time for which a claim is kept, and so a repeated request recognised.
pub(crate) const RETENTION: Duration = Duration::from_hours(1);

/// Timeout of a control call to a shard's owner or to the registrar.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Owners tried for one claim or settlement.
const MAX_OWNER_LOOKUPS: u32 = 3;

/// The node's view of its data centre, from which shard owners are found and assigned.
pub(crate) trait DataCenter: Send + Sync {
    /// Whether this node acts as registrar.
    fn is_registrar(&self) -> bool;

    /// Address of the registrar's control listener, if a registrar is known.
    fn registrar(&self) -> Option<SocketAddr>;

    /// Members of this data centre.
    fn members(&self) -> Vec<Arc<Member>>;
}

/// A node's client for claims, its shards if it owns any, and, on the registrar, the assignment of
/// owners.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    node: String,
    control: SocketAddr,
    peers: Arc<Peers>,
    data_center: OnceLock<Weak<dyn DataCenter>>,
    /// Last known owner of each shard.
    owners: Mutex<HashMap<u32, Owner>>,
    /// Shards that this node owns and has loaded.
    shards: tokio::sync::Mutex<HashMap<u32, Arc<Shard>>>,
    assignments: Assignments,
}

/// Number of the shard that a key belongs to.
pub(crate) fn shard_of(key: &str) -> u32 {
    u32::try_from(xxh3_64(key.as_bytes()) % u64::from(SHARDS)).unwrap_or(0)
}

impl Claims {
    pub(crate) fn new(
        table: Arc<dyn Table>,
        node: &str,
        control: SocketAddr,
        peers: Arc<Peers>,
    ) -> Self {
        Self {
            assignments: Assignments::new(table.clone(), peers.clone()),
            table,
            node: node.to_owned(),
            control,
            peers,
            data_center: OnceLock::new(),
            owners: Mutex::new(HashMap::new()),
            shards: tokio::sync::Mutex::new(HashMap::new()),
        }
    }

    /// Sets the data centre in which owners are looked up and assigned; until then, no owner is
    /// found.
    pub(crate) fn set_data_center(&self, data_center: Weak<dyn DataCenter>) {
        let _ = self.data_center.set(data_center);
    }

    fn data_center(&self) -> Option<Arc<dyn DataCenter>> {
        self.data_center.get()?.upgrade()
    }

    /// Requests the claim from the shard's owner, local or remote; only [`Grant::Granted`] allows
    /// the caller to dispatch its request.
    pub(crate) async fn acquire(&self, claim: &Claim) -> Grant {
        let shard = shard_of(&claim.key);
        let mut failed = None;
        for _ in 0..MAX_OWNER_LOOKUPS {
            let Some(owner) = self.find_owner(shard, failed.take()).await else {
                return Grant::Unavailable;
            };
            match self.send_claim(&owner, claim).await {
                Some(Grant::NotOwner) | None => {
                    self.lock_owners().remove(&shard);
                    failed = Some(owner);
                }
                Some(grant) => return grant,
            }
        }
        Grant::Unavailable
    }

    /// Reports the outcome of a granted request to the shard's owner; gives up silently after
    /// [`MAX_OWNER_LOOKUPS`] tries.
    pub(crate) async fn report_outcome(&self, settlement: &Settlement) {
        let shard = shard_of(&settlement.key);
        for _ in 0..MAX_OWNER_LOOKUPS {
            let Some(owner) = self.find_owner(shard, None).await else {
                continue;
            };
            if owner.node == self.node {
                return self.settle(settlement.clone()).await;
            }
            let params = settlement.clone();
            let call = async |client: HttpClient| client.settle(params).await;
            match self.peers.call(owner.control, CALL_TIMEOUT, call).await {
                Ok(()) => return,
                Err(_) => self.lock_owners().remove(&shard),
            };
        }
    }

    /// Sends a claim to an owner; `None` if the call failed.
    async fn send_claim(&self, owner: &Owner, claim: &Claim) -> Option<Grant> {
        if owner.node == self.node {
            return Some(self.claim(claim.clone()).await);
        }
        let params = claim.clone();
        let call = async |client: HttpClient| client.claim(params).await;
        self.peers
            .call(owner.control, CALL_TIMEOUT, call)
            .await
            .ok()
    }

    /// The owner of a shard: the last known one, or, if that one `failed` or none is known, the one
    /// that the registrar names.
    async fn find_owner(&self, shard: u32, failed: Option<Owner>) -> Option<Owner> {
        if failed.is_none()
            && let Some(owner) = self.lock_owners().get(&shard)
        {
            return Some(owner.clone());
        }
        let data_center = self.data_center()?;
        let query = OwnerQuery { shard, failed };
        let owner = if data_center.is_registrar() {
            self.owner(query).await
        } else {
            let registrar = data_center.registrar()?;
            let call = async |client: HttpClient| client.owner(query).await;
            self.peers
                .call(registrar, CALL_TIMEOUT, call)
                .await
                .ok()
                .flatten()
        }?;
        self.lock_owners().insert(shard, owner.clone());
        Some(owner)
    }

    /// Handles a claim as the owner of its shard.
    pub(crate) async fn claim(&self, claim: Claim) -> Grant {
        match self.owned_shard(shard_of(&claim.key)).await {
            Some(shard) => shard.claim(claim).await,
            None => Grant::NotOwner,
        }
    }

    /// Handles a settlement as the owner of its shard; ignores it if this node is not the owner.
    pub(crate) async fn settle(&self, settlement: Settlement) {
        if let Some(shard) = self.owned_shard(shard_of(&settlement.key)).await {
            shard.settle(settlement);
        }
    }

    /// Looks up a shard's owner as registrar; assigns a new one if the last one failed and does not
    /// answer probes either.
    pub(crate) async fn owner(&self, query: OwnerQuery) -> Option<Owner> {
        let members = self.data_center()?.members();
        self.assignments.owner(&members, query).await
    }

    /// The shard if this node owns it; loaded from the platform's table at first use.
    async fn owned_shard(&self, number: u32) -> Option<Arc<Shard>> {
        let mut shards = self.shards.lock().await;
        if let Some(shard) = shards.get(&number) {
            if !shard.is_replaced() {
                return Some(shard.clone());
            }
            shards.remove(&number);
        }
        let (owner, revision) = owner::read(&*self.table, number).await.ok()??;
        if owner.node != self.node || owner.control != self.control {
            return None;
        }
        let shard = Shard::load(self.table.clone(), number, owner.epoch, revision).await;
        let shard = Arc::new(shard.ok()?);
        log::info!(
            "loaded claim shard {number} as its owner in epoch {}",
            owner.epoch
        );
        shards.insert(number, shard.clone());
        Some(shard)
    }

    fn lock_owners(&self) -> std::sync::MutexGuard<'_, HashMap<u32, Owner>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(all(test, feature = "standin"))]
mod tests;
