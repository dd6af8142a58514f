//! At most once: a non-idempotent request is dispatched only under a claim on its idempotency
//! key. Keys hash to shards; each shard has one owner, fenced by an epoch in the platform's table.

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

/// Number of claim shards; part of the meaning of the stored claims.
pub(crate) const SHARDS: u32 = 16;
/// Time for which a repeated request is recognised.
pub(crate) const RETENTION: Duration = Duration::from_hours(1);

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const LOOKUP_TRIES: u32 = 3;

/// What claims need to know of the node's data centre.
pub(crate) trait DataCenter: Send + Sync {
    /// Whether this node acts as registrar.
    fn is_registrar(&self) -> bool;

    /// Control listener of the registrar, if one is known.
    fn registrar(&self) -> Option<SocketAddr>;

    /// Members of this data centre.
    fn members(&self) -> Vec<Arc<Member>>;
}

/// A node's part in claims: as a client, and as the owner of shards.
pub(crate) struct Claims {
    table: Arc<dyn Table>,
    node: String,
    control: SocketAddr,
    peers: Arc<Peers>,
    neighbours: OnceLock<Weak<dyn DataCenter>>,
    owners: Mutex<HashMap<u32, Owner>>,
    shards: tokio::sync::Mutex<HashMap<u32, Arc<Shard>>>,
    assignments: Assignments,
}

/// Shard of a key.
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
            neighbours: OnceLock::new(),
            owners: Mutex::new(HashMap::new()),
            shards: tokio::sync::Mutex::new(HashMap::new()),
        }
    }

    /// Gives the roster that owners are chosen from. Without one, no owner is found.
    pub(crate) fn set_data_center(&self, neighbours: Weak<dyn DataCenter>) {
        let _ = self.neighbours.set(neighbours);
    }

    fn neighbours(&self) -> Option<Arc<dyn DataCenter>> {
        self.neighbours.get()?.upgrade()
    }

    /// Asks the shard's owner, wherever it is, for the right to dispatch a request.
    pub(crate) async fn request(&self, claim: &Claim) -> Grant {
        let shard = shard_of(&claim.key);
        let mut failed = None;
        for _ in 0..LOOKUP_TRIES {
            let Some(owner) = self.find_owner(shard, failed.take()).await else {
                return Grant::Unavailable;
            };
            match self.ask(&owner, claim).await {
                Some(Grant::NotOwner) | None => {
                    self.lock_owners().remove(&shard);
                    failed = Some(owner);
                }
                Some(grant) => return grant,
            }
        }
        Grant::Unavailable
    }

    /// Tells the shard's owner what became of a granted request.
    pub(crate) async fn report(&self, settlement: &Settlement) {
        let shard = shard_of(&settlement.key);
        for _ in 0..LOOKUP_TRIES {
            let Some(owner) = self.find_owner(shard, None).await else {
                continue;
            };
            if owner.node == self.node {
                return self.settle(settlement.clone()).await;
            }
            let message = settlement.clone();
            let call = async |client: HttpClient| client.settle(message).await;
            match self.peers.call(owner.control, CALL_TIMEOUT, call).await {
                Ok(()) => return,
                Err(_) => self.lock_owners().remove(&shard),
            };
        }
    }

    async fn ask(&self, owner: &Owner, claim: &Claim) -> Option<Grant> {
        if owner.node == self.node {
            return Some(self.claim(claim.clone()).await);
        }
        let message = claim.clone();
        let call = async |client: HttpClient| client.claim(message).await;
        self.peers
            .call(owner.control, CALL_TIMEOUT, call)
            .await
            .ok()
    }

    /// The owner of a shard: as remembered, or as the registrar says.
    async fn find_owner(&self, shard: u32, failed: Option<Owner>) -> Option<Owner> {
        if failed.is_none()
            && let Some(owner) = self.lock_owners().get(&shard)
        {
            return Some(owner.clone());
        }
        let neighbours = self.neighbours()?;
        let query = OwnerQuery { shard, failed };
        let owner = if neighbours.is_registrar() {
            self.owner(query).await
        } else {
            let registrar = neighbours.registrar()?;
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

    /// Answers a claim as the owner of its shard.
    pub(crate) async fn claim(&self, claim: Claim) -> Grant {
        match self.own_shard(shard_of(&claim.key)).await {
            Some(shard) => shard.claim(claim).await,
            None => Grant::NotOwner,
        }
    }

    /// Takes a settlement as the owner of its shard.
    pub(crate) async fn settle(&self, settlement: Settlement) {
        if let Some(shard) = self.own_shard(shard_of(&settlement.key)).await {
            shard.settle(settlement);
        }
    }

    /// Says, as registrar, who owns a shard; appoints a new owner if the last one is dead.
    pub(crate) async fn owner(&self, query: OwnerQuery) -> Option<Owner> {
        let members = self.neighbours()?.members();
        self.assignments.owner(&members, query).await
    }

    /// The shard's state if this node owns it; loaded from the platform when first asked for.
    async fn own_shard(&self, number: u32) -> Option<Arc<Shard>> {
        let mut shards = self.shards.lock().await;
        if let Some(shard) = shards.get(&number) {
            if !shard.deposed() {
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
        log::info!("owner of claim shard {number} under epoch {}", owner.epoch);
        shards.insert(number, shard.clone());
        Some(shard)
    }

    fn lock_owners(&self) -> std::sync::MutexGuard<'_, HashMap<u32, Owner>> {
        self.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
