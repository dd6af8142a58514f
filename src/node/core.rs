//! The state that the tasks of one node share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use tokio::sync::{Notify, mpsc};

use crate::claim::{Claims, DataCenter};
use crate::peers::Peers;
use crate::proxy::{Dependencies, Membership, Proxy};
use crate::rollout::{Agent, Fetcher, Shelf, Sources};
use crate::roster::{Applied, Change, Member, Offer, Presence, Roster, Suspicions, Update, View};
use crate::settings::Settings;
use crate::store::{Holder, Lease, Platform};
use crate::telemetry::{Counters, Histograms, Traffic};
use crate::wire::Peer;

/// What a node knows of its data centre's registrar.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub holder: Holder,
    pub heard: Instant,
}

/// Messages to the task that acts as registrar while the node holds the lease.
#[derive(Debug)]
pub(crate) enum Task {
    /// A member announced itself.
    Announce(Box<Member>),
    /// Something else changed in this data centre.
    Change(Change),
    /// Updates arrived from other data centres' registrars.
    Exchange(Vec<Update>, bool),
    /// Check a member that its neighbour finds silent.
    Silent(Box<Member>),
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
    proxy: OnceLock<Arc<Proxy>>,
    /// Wakes the membership task.
    pub announce: Notify,
    /// To the registrar's task.
    pub tasks: mpsc::Sender<Task>,
    pub(super) inbox: Mutex<Option<mpsc::Receiver<Task>>>,
    member: Mutex<Member>,
    view: Mutex<View>,
    roster: ArcSwap<Roster>,
    registrar: Mutex<Option<Known>>,
    directory: ArcSwap<Vec<Holder>>,
}

const TASK_QUEUE: usize = 65_536;

/// Time for a short control message and its answer.
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
        let name = format!("dc/{}", settings.data_center);
        let term = settings.timing.lease_term;
        let lease = Lease::new(platform.table.clone(), &name, term, candidate);
        let shelf = Shelf::new();
        let fetcher = Fetcher::new(platform.clone(), shelf.clone(), &settings.region);
        let agent = Agent::new(
            &settings.node,
            settings.trust.clone(),
            shelf.clone(),
            fetcher,
        );
        let (tasks, inbox) = mpsc::channel(TASK_QUEUE);
        let peers = Arc::new(Peers::new(&settings.region));
        let claims = Claims::new(
            platform.table.clone(),
            &settings.node,
            control,
            peers.clone(),
        );
        let parts = Dependencies {
            settings: settings.clone(),
            agent: Arc::new(agent),
            shelf,
            claims: Arc::new(claims),
            suspicions: Arc::default(),
            counters: Arc::new(Counters::new()),
            histograms: Arc::default(),
            traffic: Arc::default(),
        };
        let core = Arc::new(Self {
            agent: parts.agent.clone(),
            peers,
            lease,
            counters: parts.counters.clone(),
            histograms: parts.histograms.clone(),
            traffic: parts.traffic.clone(),
            suspicions: parts.suspicions.clone(),
            claims: parts.claims.clone(),
            proxy: OnceLock::new(),
            announce: Notify::new(),
            tasks,
            inbox: Mutex::new(Some(inbox)),
            member: Mutex::new(member),
            view: Mutex::new(View::default()),
            roster: ArcSwap::default(),
            registrar: Mutex::new(None),
            directory: ArcSwap::default(),
            settings,
            platform,
        });
        let neighbours: Weak<dyn DataCenter> = Arc::downgrade(&core) as _;
        core.claims.set_data_center(neighbours);
        let membership = Arc::new(Handle(Arc::downgrade(&core)));
        let _ = core.proxy.set(Proxy::new(parts, membership));
        core
    }

    /// The node's request path.
    pub(crate) fn proxy(&self) -> &Arc<Proxy> {
        self.proxy.get().expect("set when the core is made")
    }

    /// This node's own entry in the roster.
    pub(crate) fn member(&self) -> Member {
        lock(&self.member).clone()
    }

    /// Changes this node's presence and announces it.
    pub(crate) fn set_presence(&self, presence: Presence) {
        let mut member = lock(&self.member);
        let leaving = member.presence == Presence::Leaving;
        if member.presence == presence || leaving {
            return;
        }
        log::info!("presence: {presence}");
        member.presence = presence;
        member.revision += 1;
        drop(member);
        self.announce.notify_one();
    }

    /// The roster as this node knows it now.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Runs `read` on the node's copy of the roster.
    pub(crate) fn with_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&lock(&self.view))
    }

    /// Applies updates; returns whether one of them does not follow on the copy.
    pub(crate) fn apply(&self, updates: &[Update]) -> bool {
        let mut gap = false;
        let mut view = lock(&self.view);
        let mut changed = false;
        for update in updates {
            match view.apply(update) {
                Applied::Taken => {
                    changed |= !update.changes.is_empty();
                    self.note_suspicions(update);
                }
                Applied::Gap => gap = true,
                Applied::Known => {}
            }
        }
        if changed {
            self.publish(&view);
        }
        gap
    }

    /// Drops members that no registrar confirmed within the grace period.
    pub(crate) fn expire(&self) {
        let mut view = lock(&self.view);
        if view.expire(self.settings.timing.grace) {
            self.publish(&view);
        }
    }

    fn publish(&self, view: &View) {
        let roster = Arc::new(view.roster());
        self.roster.store(roster.clone());
        self.proxy().roster_changed(&roster);
        let own = view.find(&self.settings.data_center, &self.settings.node);
        if own.is_none_or(|own| self.member().newer_than(&own)) {
            self.announce.notify_one();
        }
    }

    fn note_suspicions(&self, update: &Update) {
        for change in &update.changes {
            match change {
                Change::Crashed(crash) => self.suspicions.note(crash),
                Change::Cleared { fingerprint } => self.suspicions.clear(*fingerprint),
                Change::Joined(_) | Change::Left { .. } => {}
            }
        }
    }

    /// The registrar that this node last heard of.
    pub(crate) fn registrar(&self) -> Option<Known> {
        lock(&self.registrar).clone()
    }

    /// Notes a sign of life of a registrar; returns false if a newer one is known.
    pub(crate) fn heard_registrar(&self, holder: &Holder) -> bool {
        let mut registrar = lock(&self.registrar);
        let known = registrar.as_ref().map_or(0, |known| known.holder.epoch);
        if holder.epoch < known {
            return false;
        }
        *registrar = Some(Known {
            holder: holder.clone(),
            heard: Instant::now(),
        });
        drop(registrar);
        if holder.epoch > known {
            self.announce.notify_one();
        }
        true
    }

    /// The registrars of all data centres, as last read.
    pub(crate) fn directory(&self) -> Arc<Vec<Holder>> {
        self.directory.load_full()
    }

    pub(super) fn set_directory(&self, holders: Vec<Holder>) {
        self.directory.store(Arc::new(holders));
    }

    /// Where this node gets bundles from, given peers that likely have them.
    pub(crate) fn sources(&self, mut peers: Vec<SocketAddr>, store: bool) -> Sources {
        if let Some(known) = self.registrar()
            && known.holder.node != self.settings.node
        {
            peers.push(known.holder.mesh);
        }
        Sources { peers, store }
    }

    /// Tells the registrar of a change; dropped if there is none, callers repeat what matters.
    pub(crate) async fn report(&self, change: Change) {
        use crate::wire::ControlClient as _;
        if self.lease.acting().is_some() {
            let _ = self.tasks.try_send(Task::Change(change));
            return;
        }
        let Some(known) = self.registrar() else {
            return;
        };
        let limit = CALL_TIMEOUT;
        let call = async |client: jsonrpsee_http_client::HttpClient| client.report(change).await;
        if let Err(error) = self.peers.call(known.holder.control, limit, call).await {
            log::debug!("report to the registrar: {error}");
        }
    }

    /// Addresses of some members of this data centre, other than this node.
    pub(crate) fn some_peers(&self, count: usize) -> Vec<Peer> {
        let roster = self.roster();
        let members = roster.center(&self.settings.data_center);
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
        self.lease.acting().is_some()
    }

    fn registrar(&self) -> Option<SocketAddr> {
        Self::registrar(self).map(|known| known.holder.control)
    }

    fn members(&self) -> Vec<Arc<Member>> {
        self.roster().center(&self.settings.data_center).to_vec()
    }
}

/// Access to the node's roster entry for its request path. Weak, because the node owns the request
/// path.
struct Handle(Weak<Core>);

#[async_trait]
impl Membership for Handle {
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
            core.report(change).await;
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
