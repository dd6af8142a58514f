//! State shared by the tasks of one node.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use tokio::sync::{Notify, mpsc};

use crate::claim::{Claims, DataCenter};
use crate::memory::Pool;
use crate::peers::Peers;
use crate::proxy::{Dependencies, Membership, Proxy};
use crate::rollout::{Agent, BundleCache, Fetcher, Sources};
use crate::roster::{
    ApplyOutcome, Change, Member, Offer, Presence, Roster, Suspicions, Update, View,
};
use crate::settings::Settings;
use crate::store::{Holder, Lease, Platform};
use crate::telemetry::{Counters, Histograms, Limits, Traffic};
use crate::wire::Peer;

/// The registrar of the node's data centre, as known to the node.
#[derive(Clone, Debug)]
pub(crate) struct KnownRegistrar {
    pub holder: Holder,
    /// When the node last received a message from it.
    pub last_contact: Instant,
}

/// Message to the task that acts as registrar while the node holds the lease.
#[derive(Debug)]
pub(crate) enum RegistrarMessage {
    /// A member announced itself.
    Announce(Box<Member>),
    /// Another change in this data centre.
    Change(Change),
    /// Updates of other data centres. If the flag is set, the registrar relays them to the other
    /// registrars of its region.
    Exchange(Vec<Update>, bool),
    /// Probe a member that did not answer its neighbour.
    ProbeMember(Box<Member>),
}

/// Shared state of one node.
pub(crate) struct Core {
    pub settings: Settings,
    pub platform: Platform,
    pub agent: Arc<Agent>,
    pub peers: Arc<Peers>,
    pub lease: Lease,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    pub traffic: Arc<Traffic>,
    pub suspicions: Arc<Suspicions>,
    pub claims: Arc<Claims>,
    /// Memory for messages of others.
    pub memory: Arc<Pool>,
    proxy: OnceLock<Arc<Proxy>>,
    /// Wakes the membership task, which then announces the node.
    pub announcement_due: Notify,
    pub registrar_messages: mpsc::Sender<RegistrarMessage>,
    /// Taken by the registrar's task when it starts.
    pub(super) registrar_inbox: Mutex<Option<mpsc::Receiver<RegistrarMessage>>>,
    member: Mutex<Member>,
    view: Mutex<View>,
    roster: ArcSwap<Roster>,
    registrar: Mutex<Option<KnownRegistrar>>,
    /// The registrars of all data centres, in data centre order.
    registrars: ArcSwap<Vec<Holder>>,
}

const REGISTRAR_QUEUE_LEN: usize = 65_536;

/// Timeout of a short control message, answer included.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Core {
    pub(crate) fn new(
        settings: Settings,
        platform: Platform,
        mesh: SocketAddr,
        control: SocketAddr,
    ) -> Arc<Self> {
        let member = own_member(&settings, mesh, control);
        let candidate = Holder {
            node: member.node.clone(),
            region: member.region.clone(),
            data_center: member.data_center.clone(),
            control,
            mesh,
            epoch: 0,
            renewals: 0,
        };
        let lease_name = format!("dc/{}", settings.data_center);
        let term = settings.timing.lease_term;
        let lease = Lease::new(platform.table.clone(), &lease_name, term, candidate);
        let cache = BundleCache::new();
        let fetcher = Fetcher::new(platform.clone(), cache.clone(), &settings.region);
        let agent = Agent::new(
            &settings.node,
            settings.trust.clone(),
            cache.clone(),
            fetcher,
        );
        let (registrar_messages, registrar_inbox) = mpsc::channel(REGISTRAR_QUEUE_LEN);
        let peers = Arc::new(Peers::new(&settings.region));
        let claims = Claims::new(
            platform.table.clone(),
            &settings.node,
            control,
            peers.clone(),
        );
        let counters = Arc::new(Counters::new());
        let limits = Limits::new(counters.clone());
        let dependencies = Dependencies {
            memory: Pool::new(settings.resources.held_bytes(), limits),
            settings: settings.clone(),
            agent: Arc::new(agent),
            bundles: cache,
            claims: Arc::new(claims),
            suspicions: Arc::default(),
            counters,
            histograms: Arc::default(),
            traffic: Arc::default(),
        };
        let core = Arc::new(Self {
            agent: dependencies.agent.clone(),
            peers,
            lease,
            counters: dependencies.counters.clone(),
            histograms: dependencies.histograms.clone(),
            traffic: dependencies.traffic.clone(),
            suspicions: dependencies.suspicions.clone(),
            claims: dependencies.claims.clone(),
            memory: dependencies.memory.clone(),
            proxy: OnceLock::new(),
            announcement_due: Notify::new(),
            registrar_messages,
            registrar_inbox: Mutex::new(Some(registrar_inbox)),
            member: Mutex::new(member),
            view: Mutex::new(View::default()),
            roster: ArcSwap::default(),
            registrar: Mutex::new(None),
            registrars: ArcSwap::default(),
            settings,
            platform,
        });
        let data_center: Weak<dyn DataCenter> = Arc::downgrade(&core) as _;
        core.claims.set_data_center(data_center);
        let membership = Arc::new(MembershipHandle(Arc::downgrade(&core)));
        let _ = core.proxy.set(Proxy::new(dependencies, membership));
        core
    }

    /// The proxy, which is the node's request path.
    pub(crate) fn proxy(&self) -> &Arc<Proxy> {
        self.proxy
            .get()
            .expect("the proxy is set when the core is created")
    }

    /// This node's own entry in the roster.
    pub(crate) fn member(&self) -> Member {
        lock(&self.member).clone()
    }

    /// Changes this node's presence and announces it. A node that is leaving stays so.
    pub(crate) fn set_presence(&self, presence: Presence) {
        let mut member = lock(&self.member);
        let is_leaving = member.presence == Presence::Leaving;
        if member.presence == presence || is_leaving {
            return;
        }
        log::info!("presence changed to {presence}");
        member.presence = presence;
        member.revision += 1;
        drop(member);
        self.announcement_due.notify_one();
    }

    /// Snapshot of this node's copy of the roster.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Calls `read` with this node's copy of the roster.
    pub(crate) fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&lock(&self.view))
    }

    /// Applies updates. Returns whether one was not applied because earlier updates are missing.
    pub(crate) fn apply_updates(&self, updates: &[Update]) -> bool {
        let mut updates_missing = false;
        let mut view = lock(&self.view);
        let mut changed = false;
        for update in updates {
            match view.apply(update) {
                ApplyOutcome::Applied => {
                    changed |= !update.changes.is_empty();
                    self.update_suspicions(update);
                }
                ApplyOutcome::MissingUpdates => updates_missing = true,
                ApplyOutcome::AlreadyApplied => {}
            }
        }
        if changed {
            self.publish(&view);
        }
        updates_missing
    }

    /// Drops members that a new registrar did not confirm within the grace period.
    pub(crate) fn expire_unconfirmed(&self) {
        let mut view = lock(&self.view);
        if view.expire(self.settings.timing.grace) {
            self.publish(&view);
        }
    }

    /// Replaces the snapshot, and announces this node if the roster lacks its current entry.
    fn publish(&self, view: &View) {
        let roster = Arc::new(view.roster());
        self.roster.store(roster.clone());
        self.proxy().update_roster(&roster);
        let own = view.find(&self.settings.data_center, &self.settings.node);
        if own.is_none_or(|own| self.member().newer_than(&own)) {
            self.announcement_due.notify_one();
        }
    }

    fn update_suspicions(&self, update: &Update) {
        for change in &update.changes {
            match change {
                Change::Crashed(crash) => self.suspicions.record_crash(crash),
                Change::Cleared { fingerprint } => self.suspicions.clear(*fingerprint),
                Change::Joined(_) | Change::Left { .. } => {}
            }
        }
    }

    /// The registrar of this data centre, if one is known.
    pub(crate) fn registrar(&self) -> Option<KnownRegistrar> {
        lock(&self.registrar).clone()
    }

    /// Records a message from a registrar. Returns false, and records nothing, if a registrar of a
    /// higher epoch is known.
    pub(crate) fn record_registrar(&self, holder: &Holder) -> bool {
        let mut registrar = lock(&self.registrar);
        let known_epoch = registrar.as_ref().map_or(0, |known| known.holder.epoch);
        if holder.epoch < known_epoch {
            return false;
        }
        *registrar = Some(KnownRegistrar {
            holder: holder.clone(),
            last_contact: Instant::now(),
        });
        drop(registrar);
        if holder.epoch > known_epoch {
            self.announcement_due.notify_one();
        }
        true
    }

    /// The registrars of all data centres in data centre order, as last read from the platform.
    /// Empty unless this node is a registrar or was one.
    ///
    /// Work that one registrar does for a region or for the mesh falls to the first in this order.
    pub(crate) fn registrars(&self) -> Arc<Vec<Holder>> {
        self.registrars.load_full()
    }

    pub(super) fn set_registrars(&self, holders: Vec<Holder>) {
        self.registrars.store(Arc::new(holders));
    }

    /// Sources of bundles: the given peers, which likely have them, the registrar and, if `store`
    /// is set, the object store.
    pub(crate) fn sources(&self, mut peers: Vec<SocketAddr>, store: bool) -> Sources {
        if let Some(known) = self.registrar()
            && known.holder.node != self.settings.node
        {
            peers.push(known.holder.mesh);
        }
        Sources { peers, store }
    }

    /// Reports a change to the registrar. It is dropped if no registrar is known or reachable;
    /// callers repeat what must not be lost.
    pub(crate) async fn report_change(&self, change: Change) {
        use crate::wire::ControlClient as _;
        if self.lease.presumed_holder().is_some() {
            let _ = self
                .registrar_messages
                .try_send(RegistrarMessage::Change(change));
            return;
        }
        let Some(known) = self.registrar() else {
            return;
        };
        let call = async |client: jsonrpsee_http_client::HttpClient| client.report(change).await;
        if let Err(error) = self
            .peers
            .call(known.holder.control, CALL_TIMEOUT, call)
            .await
        {
            log::debug!("reporting a change to the registrar failed: {error}");
        }
    }

    /// Addresses of up to `count` random members of this data centre, other than this node.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<Peer> {
        let roster = self.roster();
        let members = roster.members_in(&self.settings.data_center);
        let others: Vec<&Arc<Member>> = members
            .iter()
            .filter(|m| m.node != self.settings.node)
            .collect();
        let picked =
            rand::seq::index::sample(&mut rand::rng(), others.len(), count.min(others.len()));
        picked
            .iter()
            .map(|index| Peer::from(others[index].as_ref()))
            .collect()
    }
}

impl DataCenter for Core {
    fn is_registrar(&self) -> bool {
        self.lease.presumed_holder().is_some()
    }

    fn registrar(&self) -> Option<SocketAddr> {
        Self::registrar(self).map(|known| known.holder.control)
    }

    fn members(&self) -> Vec<Arc<Member>> {
        self.roster()
            .members_in(&self.settings.data_center)
            .to_vec()
    }
}

/// Gives the proxy access to the node's roster entry. Weak, because the core owns the proxy.
struct MembershipHandle(Weak<Core>);

#[async_trait]
impl Membership for MembershipHandle {
    fn member(&self) -> Option<Member> {
        self.0.upgrade().map(|core| core.member())
    }

    fn set_presence(&self, presence: Presence) {
        if let Some(core) = self.0.upgrade() {
            core.set_presence(presence);
        }
    }

    async fn report(&self, change: Change) {
        if let Some(core) = self.0.upgrade() {
            core.report_change(change).await;
        }
    }
}

fn own_member(settings: &Settings, mesh: SocketAddr, control: SocketAddr) -> Member {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let offer = settings.target.as_ref().map(|target| Offer {
        group: target.group.clone(),
        slots: target.slots,
    });
    Member {
        node: settings.node.clone(),
        incarnation: u64::try_from(started.as_micros()).unwrap_or(0),
        revision: 0,
        region: settings.region.clone(),
        data_center: settings.data_center.clone(),
        mesh,
        control,
        offer,
        presence: Presence::Serving,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
