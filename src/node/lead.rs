//! The registrar's work, done by the node that holds its data centre's lease: follow the rollout
//! row, number roster changes, send the heartbeat, report to the platform, drive rolls.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee_http_client::HttpClient;
use rand::seq::IndexedRandom as _;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::node::core::CALL_TIMEOUT;
use crate::node::core::{Core, Task};
use crate::node::delivery;
use crate::node::membership;
use crate::node::source;
use crate::rollout::{Report, Tally, position};
use crate::roster::{Change, Member, Registrar, Update};
use crate::store::Holder;
use crate::wire::{ControlClient as _, Exchange};

const TICK: Duration = Duration::from_millis(50);
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(2);
const UNSETTLED_BEAT: Duration = Duration::from_millis(200);
const DELIVERY_BUDGET: Duration = Duration::from_secs(3);
/// For how long after a new head members that did not answer are told again quickly.
const REPEAT_TERM: Duration = Duration::from_secs(2);
const STANDBYS: usize = 2;
const REFRESHES_UNTIL_STALE: u32 = 3;
const STANDBY_SEED: u64 = 1;

/// Whether this node should watch the lease: it is one of the first few members of the data
/// centre on a ring, the registrar left out.
pub(super) fn is_standby(core: &Core) -> bool {
    let roster = core.roster();
    let registrar = core.registrar().map(|known| known.holder.node);
    let mut nodes: Vec<(u64, &str)> = roster
        .center(&core.settings.data_center)
        .iter()
        .filter(|member| Some(&member.node) != registrar.as_ref())
        .map(|member| (position(STANDBY_SEED, &member.node), member.node.as_str()))
        .collect();
    nodes.sort_unstable();
    nodes
        .iter()
        .take(STANDBYS)
        .any(|(_, standby)| *standby == core.settings.node)
}

/// Acts as registrar whenever this node holds the lease, until the node stops.
pub(super) async fn run(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let inbox = core
        .inbox
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .take();
    let Some(mut inbox) = inbox else { return };
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            _ = stopped.changed() => return,
        }
        if let Some(holder) = core.lease.presumed_holder() {
            log::info!(
                "registrar of {} under epoch {}",
                holder.data_center,
                holder.epoch
            );
            let renewing = tokio::spawn(renew(core.clone(), stopped.clone()));
            tokio::select! {
                () = Lead::new(&core, holder).serve(&mut inbox) => {}
                _ = stopped.changed() => return,
            }
            renewing.abort();
            log::info!("no longer registrar");
        }
        while inbox.try_recv().is_ok() {}
    }
}

/// Renews the lease three times a term, until it is lost.
async fn renew(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut available = true;
    loop {
        tokio::select! {
            () = tokio::time::sleep(core.settings.timing.lease_term / 3) => {}
            _ = stopped.changed() => return,
        }
        let outcome = core.lease.renew().await;
        if outcome.is_ok() != available {
            available = outcome.is_ok();
            log::warn!(
                "platform {}",
                if available {
                    "available"
                } else {
                    "unavailable"
                }
            );
        }
        if core.lease.presumed_holder().is_none() {
            return;
        }
    }
}

/// Pulls from other registrars what their exchanges did not bring: every registrar from one in its
/// region, the first of each region also from one in another region.
async fn pull_from_registrars(core: Arc<Core>, holder: Holder) {
    loop {
        tokio::time::sleep(core.settings.timing.pull).await;
        let directory = core.directory();
        let first = directory.iter().find(|other| other.region == holder.region);
        let leads = first.is_some_and(|first| first.node == holder.node);
        let (near, far): (Vec<&Holder>, Vec<&Holder>) = directory
            .iter()
            .filter(|other| other.data_center != holder.data_center)
            .partition(|other| other.region == holder.region);
        for group in [Some(near), leads.then_some(far)].into_iter().flatten() {
            let Some(peer) = group.choose(&mut rand::rng()) else {
                continue;
            };
            if let Some(news) = delivery::ask(&core, peer.control).await {
                let task = Task::Exchange(news.updates, leads);
                let _ = core.tasks.try_send(task);
            }
        }
    }
}

struct Lead<'a> {
    core: &'a Arc<Core>,
    registrar: Registrar,
    holder: Holder,
    outbox: Vec<Update>,
    listed: Option<Instant>,
    beaten: Option<Instant>,
    delivered_revision: u64,
    /// When the members were first told of the newest head.
    told: Option<Instant>,
    settled: bool,
    reports: watch::Sender<Report>,
    tallies: mpsc::Sender<(u64, Tally)>,
    answered: mpsc::Receiver<(u64, Tally)>,
    /// Tasks that end with the role.
    _helpers: JoinSet<()>,
}

impl<'a> Lead<'a> {
    fn new(core: &'a Arc<Core>, holder: Holder) -> Self {
        let center = &core.settings.data_center;
        let position = core.with_view(|view| view.position(center));
        let (tallies, answered) = mpsc::channel(64);
        let (reports, latest) = watch::channel(Report::default());
        let mut helpers = JoinSet::new();
        helpers.spawn(source::follow_rollout(core.clone(), holder.clone()));
        helpers.spawn(source::list_registrars(core.clone()));
        helpers.spawn(source::drive(core.clone(), holder.clone()));
        helpers.spawn(source::write_reports(core.clone(), latest));
        helpers.spawn(pull_from_registrars(core.clone(), holder.clone()));
        Self {
            core,
            registrar: Registrar::new(center, position, holder.epoch),
            holder,
            outbox: Vec::new(),
            listed: None,
            beaten: None,
            delivered_revision: 0,
            told: None,
            settled: false,
            reports,
            tallies,
            answered,
            _helpers: helpers,
        }
    }

    /// Works until the lease is known to be lost. Never waits for the platform, so that heartbeats and
    /// roster changes go on while it is down.
    async fn serve(mut self, inbox: &mut mpsc::Receiver<Task>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.acts() {
            tokio::select! {
                Some(task) = inbox.recv() => self.take(task),
                Some((revision, tally)) = self.answered.recv() => self.report(revision, tally),
                _ = tick.tick() => self.step(),
            }
        }
    }

    /// Whether the lease is not known to be lost, and no registrar of a higher epoch was heard.
    fn acts(&self) -> bool {
        let known = self.core.registrar().map_or(0, |known| known.holder.epoch);
        self.core.lease.presumed_holder().is_some() && known <= self.holder.epoch
    }

    fn take(&mut self, task: Task) {
        match task {
            Task::Announce(member) => {
                self.core
                    .with_view(|view| self.registrar.announce(*member, view));
            }
            Task::Change(change) => self.registrar.add(change),
            Task::Exchange(updates, relay) => self.take_exchange(updates, relay),
            Task::Silent(member) => self.check_silent(*member),
        }
    }

    /// Takes other data centres' updates and passes them on inside the region.
    fn take_exchange(&mut self, mut updates: Vec<Update>, relay: bool) {
        updates.retain(|update| {
            let known = self
                .core
                .with_view(|view| view.position(&update.data_center));
            known < update.position && update.data_center != self.holder.data_center
        });
        if updates.is_empty() {
            return;
        }
        self.core.apply(&updates);
        if relay {
            let neighbours = self.registrars(|holder| holder.region == self.holder.region);
            self.exchange(&neighbours, &updates, false);
        }
        self.outbox.extend(updates);
    }

    /// Probes a member that its neighbour finds silent, and drops it if it does not answer.
    fn check_silent(&self, member: Member) {
        let core = self.core.clone();
        tokio::spawn(async move {
            if membership::probe(&core, &member).await || membership::probe(&core, &member).await {
                return;
            }
            core.counters.count("members_dropped");
            log::info!("member {} does not answer", member.node);
            let change = Change::Left {
                node: member.node,
                incarnation: member.incarnation,
            };
            let _ = core.tasks.try_send(Task::Change(change));
        });
    }

    fn step(&mut self) {
        if due(&mut self.listed, CONFIRMATION_PERIOD) {
            self.check_unconfirmed();
        }
        self.flush();
        self.deliver();
    }

    /// Probes members that have not announced themselves for long.
    fn check_unconfirmed(&mut self) {
        let term = self.core.settings.timing.refresh * REFRESHES_UNTIL_STALE;
        let roster = self.core.roster();
        let members = roster.center(&self.holder.data_center);
        for member in self.registrar.unconfirmed(members, term) {
            self.registrar.confirm(&member.node);
            self.check_silent(member);
        }
    }

    /// Numbers pending changes, and sends them to the other data centres.
    fn flush(&mut self) {
        while let Some(update) = self.registrar.flush() {
            self.core.apply(std::slice::from_ref(&update));
            let updates = vec![update];
            let near = self.registrars(|holder| holder.region == self.holder.region);
            self.exchange(&near, &updates, false);
            self.exchange(&self.other_regions(), &updates, true);
            self.outbox.extend(updates);
        }
    }

    /// One registrar in each other region, which relays inside its region.
    fn other_regions(&self) -> Vec<Holder> {
        let mut leads: Vec<Holder> = Vec::new();
        for holder in self.registrars(|holder| holder.region != self.holder.region) {
            if leads.iter().all(|lead| lead.region != holder.region) {
                leads.push(holder);
            }
        }
        leads
    }

    fn exchange(&self, recipients: &[Holder], updates: &[Update], relay: bool) {
        for recipient in recipients {
            let message = Exchange {
                updates: updates.to_vec(),
                relay,
            };
            let core = self.core.clone();
            let address = recipient.control;
            tokio::spawn(async move {
                let call = async |client: HttpClient| client.exchange(message).await;
                if core.peers.call(address, CALL_TIMEOUT, call).await.is_err() {
                    core.counters.count("exchanges_failed");
                }
            });
        }
    }

    /// Other registrars that `fits`, in data centre order.
    fn registrars(&self, fits: impl Fn(&Holder) -> bool) -> Vec<Holder> {
        let directory = self.core.directory();
        let others = directory
            .iter()
            .filter(|h| h.data_center != self.holder.data_center);
        others.filter(|holder| fits(holder)).cloned().collect()
    }

    /// Sends a heartbeat if it is due or there is news.
    fn deliver(&mut self) {
        let revision = self.core.agent.head().revision;
        let news = !self.outbox.is_empty() || revision > self.delivered_revision;
        let timing = self.core.settings.timing;
        let period = if self.settled {
            timing.beat
        } else {
            UNSETTLED_BEAT.min(timing.beat)
        };
        let beat = due(&mut self.beaten, period);
        if !news && !beat {
            return;
        }
        self.beaten = Some(Instant::now());
        if revision > self.delivered_revision {
            self.told = self.beaten;
        }
        self.delivered_revision = revision;
        self.settled = !news && self.settled;
        let mut message = delivery::whole(self.core, self.holder.clone());
        message.updates = std::mem::take(&mut self.outbox);
        let core = self.core.clone();
        let tallies = self.tallies.clone();
        core.heard_registrar(&self.holder);
        tokio::spawn(async move {
            let mut tally = delivery::forward(&core, &message, DELIVERY_BUDGET).await;
            tally.merge(delivery::own_tally(&core));
            let _ = tallies.send((message.head.revision, tally)).await;
        });
    }

    fn report(&mut self, revision: u64, tally: Tally) {
        let head = self.core.agent.head();
        if revision < self.reports.borrow().revision {
            return;
        }
        let awaited = head
            .candidate
            .iter()
            .chain(&head.active)
            .map(|release| release.version);
        let pending =
            awaited.map(|version| tally.heard() - tally.ready_for(version).min(tally.heard()));
        let fresh = self.told.is_some_and(|told| told.elapsed() < REPEAT_TERM);
        let unheard = fresh && tally.unheard > 0;
        self.settled = revision == head.revision && pending.sum::<usize>() == 0 && !unheard;
        let report = Report {
            data_center: self.holder.data_center.clone(),
            revision,
            tally,
        };
        self.reports.send_if_modified(|latest| {
            let changed = *latest != report;
            *latest = report;
            changed
        });
    }
}

/// Whether `period` has passed since `last`, which is then set to now.
fn due(last: &mut Option<Instant>, period: Duration) -> bool {
    if last.is_some_and(|last| last.elapsed() < period) {
        return false;
    }
    *last = Some(Instant::now());
    true
}
