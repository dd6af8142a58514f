//! The registrar's task, which runs on the node that holds its data centre's lease: follow the
//! rollout row, number roster changes, send heartbeats, report to the platform, drive the rollout.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee_http_client::HttpClient;
use rand::seq::IndexedRandom as _;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::node::core::CALL_TIMEOUT;
use crate::node::core::{Core, RegistrarMessage};
use crate::node::delivery;
use crate::node::membership;
use crate::node::platform;
use crate::rollout::{Report, Tally, ring_position};
use crate::roster::{Change, Member, Registrar, Update};
use crate::store::Holder;
use crate::wire::{ControlClient as _, Exchange};

const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Period of the check for members that are no longer confirmed.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(2);
/// Heartbeat period while members have not prepared the newest head yet.
const FAST_HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Time for a delivery to reach the entire data centre and for the tallies to return.
const DELIVERY_BUDGET: Duration = Duration::from_secs(3);
/// Time after a new head is sent for which heartbeats stay fast while some members do not answer.
const FAST_RETRY_TERM: Duration = Duration::from_secs(2);
const MAX_STANDBYS: usize = 2;
/// A member is probed once it did not announce itself for this many refresh periods.
const REFRESHES_UNTIL_STALE: u32 = 3;
/// Seed of the ring that determines the standbys.
const STANDBY_RING_SEED: u64 = 1;

/// Whether this node is a standby, which regularly checks the lease. The standbys are the first
/// [`MAX_STANDBYS`] members of the data centre on a ring, the registrar excluded.
pub(super) fn is_standby(core: &Core) -> bool {
    let roster = core.roster();
    let registrar = core.registrar().map(|known| known.holder.node);
    let mut nodes: Vec<(u64, &str)> = roster
        .members_in(&core.settings.data_center)
        .iter()
        .filter(|member| Some(&member.node) != registrar.as_ref())
        .map(|member| {
            (
                ring_position(STANDBY_RING_SEED, &member.node),
                member.node.as_str(),
            )
        })
        .collect();
    nodes.sort_unstable();
    nodes
        .iter()
        .take(MAX_STANDBYS)
        .any(|(_, standby)| *standby == core.settings.node)
}

/// Acts as registrar whenever this node holds the lease, until the node stops.
pub(super) async fn run(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let inbox = core
        .registrar_inbox
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .take();
    let Some(mut inbox) = inbox else { return };
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK_PERIOD) => {}
            _ = stopped.changed() => return,
        }
        if let Some(holder) = core.lease.presumed_holder() {
            log::info!(
                "acting as registrar of {} under epoch {}",
                holder.data_center,
                holder.epoch
            );
            let renewal = tokio::spawn(renew(core.clone(), stopped.clone()));
            tokio::select! {
                () = RegistrarTask::new(&core, holder).serve(&mut inbox) => {}
                _ = stopped.changed() => return,
            }
            renewal.abort();
            log::info!("no longer acting as registrar");
        }
        while inbox.try_recv().is_ok() {}
    }
}

/// Renews the lease three times per term, until it is lost.
async fn renew(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut is_available = true;
    loop {
        tokio::select! {
            () = tokio::time::sleep(core.settings.timing.lease_term / 3) => {}
            _ = stopped.changed() => return,
        }
        let outcome = core.lease.renew().await;
        if outcome.is_ok() != is_available {
            is_available = outcome.is_ok();
            log::warn!(
                "{}",
                if is_available {
                    "platform available again; lease renewals resume"
                } else {
                    "platform unavailable; retrying the lease renewal"
                }
            );
        }
        if core.lease.presumed_holder().is_none() {
            return;
        }
    }
}

/// Periodically pulls updates that the exchanges did not deliver: each registrar from another one
/// in its region, and the first registrar of a region also from one in another region.
async fn pull_from_other_registrars(core: Arc<Core>, holder: Holder) {
    loop {
        tokio::time::sleep(core.settings.timing.pull).await;
        let registrars = core.registrars();
        let first = registrars
            .iter()
            .find(|other| other.region == holder.region);
        let is_first_in_region = first.is_some_and(|first| first.node == holder.node);
        let (same_region, other_regions): (Vec<&Holder>, Vec<&Holder>) = registrars
            .iter()
            .filter(|other| other.data_center != holder.data_center)
            .partition(|other| other.region == holder.region);
        for candidates in [
            Some(same_region),
            is_first_in_region.then_some(other_regions),
        ]
        .into_iter()
        .flatten()
        {
            let Some(peer) = candidates.choose(&mut rand::rng()) else {
                continue;
            };
            if let Some(reply) = delivery::send_pull(&core, peer.control).await {
                let message = RegistrarMessage::Exchange(reply.updates, is_first_in_region);
                let _ = core.registrar_messages.try_send(message);
            }
        }
    }
}

/// State of this node while it acts as registrar.
struct RegistrarTask<'a> {
    core: &'a Arc<Core>,
    registrar: Registrar,
    holder: Holder,
    /// Updates for the next delivery to the members.
    undelivered: Vec<Update>,
    last_confirmation_check: Option<Instant>,
    last_heartbeat: Option<Instant>,
    /// Revision of the newest head that was sent to the members.
    delivered_revision: u64,
    /// When that head was first sent.
    head_sent: Option<Instant>,
    /// Whether all members that answered have prepared the releases of the newest head.
    members_up_to_date: bool,
    reports: watch::Sender<Report>,
    tally_sender: mpsc::Sender<(u64, Tally)>,
    /// Tallies of finished deliveries, with the revision of the delivered head.
    tally_receiver: mpsc::Receiver<(u64, Tally)>,
    /// Tasks that are aborted when this node stops acting as registrar.
    _background_tasks: JoinSet<()>,
}

impl<'a> RegistrarTask<'a> {
    fn new(core: &'a Arc<Core>, holder: Holder) -> Self {
        let data_center = &core.settings.data_center;
        let position = core.with_view(|view| view.position(data_center));
        let (tally_sender, tally_receiver) = mpsc::channel(64);
        let (reports, latest) = watch::channel(Report::default());
        let mut background_tasks = JoinSet::new();
        background_tasks.spawn(platform::follow_rollout(core.clone(), holder.clone()));
        background_tasks.spawn(platform::refresh_registrars(core.clone()));
        background_tasks.spawn(platform::drive_rollout(core.clone(), holder.clone()));
        background_tasks.spawn(platform::write_reports(core.clone(), latest));
        background_tasks.spawn(pull_from_other_registrars(core.clone(), holder.clone()));
        Self {
            core,
            registrar: Registrar::new(data_center, position, holder.epoch),
            holder,
            undelivered: Vec::new(),
            last_confirmation_check: None,
            last_heartbeat: None,
            delivered_revision: 0,
            head_sent: None,
            members_up_to_date: false,
            reports,
            tally_sender,
            tally_receiver,
            _background_tasks: background_tasks,
        }
    }

    /// Runs until the lease is known to be lost. Never waits for the platform, so that heartbeats
    /// and roster changes continue while it is down.
    async fn serve(mut self, inbox: &mut mpsc::Receiver<RegistrarMessage>) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.is_registrar() {
            tokio::select! {
                Some(message) = inbox.recv() => self.handle(message),
                Some((revision, tally)) = self.tally_receiver.recv() => {
                    self.update_report(revision, tally);
                }
                _ = tick.tick() => self.run_periodic_work(),
            }
        }
    }

    /// Whether the lease is not known to be lost and no registrar of a higher epoch is known.
    fn is_registrar(&self) -> bool {
        let known_epoch = self.core.registrar().map_or(0, |known| known.holder.epoch);
        self.core.lease.presumed_holder().is_some() && known_epoch <= self.holder.epoch
    }

    fn handle(&mut self, message: RegistrarMessage) {
        match message {
            RegistrarMessage::Announce(member) => {
                self.core
                    .with_view(|view| self.registrar.handle_announcement(*member, view));
            }
            RegistrarMessage::Change(change) => self.registrar.queue_change(change),
            RegistrarMessage::Exchange(updates, relay) => self.handle_exchange(updates, relay),
            RegistrarMessage::ProbeMember(member) => self.probe_or_drop(*member),
        }
    }

    /// Applies other data centres' updates that are new here. If `relay` is set, sends them to the
    /// other registrars of the region.
    fn handle_exchange(&mut self, mut updates: Vec<Update>, relay: bool) {
        updates.retain(|update| {
            let known_position = self
                .core
                .with_view(|view| view.position(&update.data_center));
            known_position < update.position && update.data_center != self.holder.data_center
        });
        if updates.is_empty() {
            return;
        }
        self.core.apply_updates(&updates);
        if relay {
            let same_region = self.other_registrars(|holder| holder.region == self.holder.region);
            self.send_exchange(&same_region, &updates, false);
        }
        self.undelivered.extend(updates);
    }

    /// Probes a member, a second time if it does not answer, and drops it from the roster if it
    /// answers neither probe.
    fn probe_or_drop(&self, member: Member) {
        let core = self.core.clone();
        tokio::spawn(async move {
            if membership::probe(&core, &member).await || membership::probe(&core, &member).await {
                return;
            }
            core.counters.count("members_dropped");
            log::info!("member {} does not answer; dropping it", member.node);
            let change = Change::Left {
                node: member.node,
                incarnation: member.incarnation,
            };
            let _ = core
                .registrar_messages
                .try_send(RegistrarMessage::Change(change));
        });
    }

    fn run_periodic_work(&mut self) {
        if restart_if_due(&mut self.last_confirmation_check, CONFIRMATION_PERIOD) {
            self.check_unconfirmed();
        }
        self.publish_changes();
        self.deliver_if_due();
    }

    /// Probes members that missed several announcements.
    fn check_unconfirmed(&mut self) {
        let term = self.core.settings.timing.refresh * REFRESHES_UNTIL_STALE;
        let roster = self.core.roster();
        let members = roster.members_in(&self.holder.data_center);
        for member in self.registrar.unconfirmed(members, term) {
            self.registrar.confirm(&member.node);
            self.probe_or_drop(member);
        }
    }

    /// Numbers pending changes and sends them to the other data centres.
    fn publish_changes(&mut self) {
        while let Some(update) = self.registrar.next_update() {
            self.core.apply_updates(std::slice::from_ref(&update));
            let updates = vec![update];
            let same_region = self.other_registrars(|holder| holder.region == self.holder.region);
            self.send_exchange(&same_region, &updates, false);
            self.send_exchange(&self.other_regions(), &updates, true);
            self.undelivered.extend(updates);
        }
    }

    /// The first registrar of each other region, which relays within its region.
    fn other_regions(&self) -> Vec<Holder> {
        let mut relays: Vec<Holder> = Vec::new();
        for holder in self.other_registrars(|holder| holder.region != self.holder.region) {
            if relays.iter().all(|relay| relay.region != holder.region) {
                relays.push(holder);
            }
        }
        relays
    }

    fn send_exchange(&self, recipients: &[Holder], updates: &[Update], relay: bool) {
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

    /// Registrars of other data centres that match, in data centre order.
    fn other_registrars(&self, matches: impl Fn(&Holder) -> bool) -> Vec<Holder> {
        let registrars = self.core.registrars();
        let others = registrars
            .iter()
            .filter(|h| h.data_center != self.holder.data_center);
        others.filter(|holder| matches(holder)).cloned().collect()
    }

    /// Sends a delivery to the members if there is a new head or an update, or as a heartbeat if
    /// its period has passed.
    fn deliver_if_due(&mut self) {
        let revision = self.core.agent.head().revision;
        let has_changes = !self.undelivered.is_empty() || revision > self.delivered_revision;
        let timing = self.core.settings.timing;
        let period = if self.members_up_to_date {
            timing.beat
        } else {
            FAST_HEARTBEAT_PERIOD.min(timing.beat)
        };
        let is_due = restart_if_due(&mut self.last_heartbeat, period);
        if !has_changes && !is_due {
            return;
        }
        self.last_heartbeat = Some(Instant::now());
        if revision > self.delivered_revision {
            self.head_sent = self.last_heartbeat;
        }
        self.delivered_revision = revision;
        self.members_up_to_date = !has_changes && self.members_up_to_date;
        let mut message = delivery::new_delivery(self.core, self.holder.clone());
        message.updates = std::mem::take(&mut self.undelivered);
        let core = self.core.clone();
        let tally_sender = self.tally_sender.clone();
        core.record_registrar(&self.holder);
        tokio::spawn(async move {
            let mut tally = delivery::forward_to_span(&core, &message, DELIVERY_BUDGET).await;
            tally.merge(delivery::own_tally(&core));
            let _ = tally_sender.send((message.head.revision, tally)).await;
        });
    }

    /// Updates the report with the tally of a delivery of the head at `revision`, unless there is
    /// one of a newer head.
    fn update_report(&mut self, revision: u64, tally: Tally) {
        let head = self.core.agent.head();
        if revision < self.reports.borrow().revision {
            return;
        }
        let versions = head
            .candidate
            .iter()
            .chain(&head.active)
            .map(|release| release.version);
        let not_ready = versions
            .map(|version| tally.responded() - tally.ready_for(version).min(tally.responded()));
        let is_recent = self
            .head_sent
            .is_some_and(|sent| sent.elapsed() < FAST_RETRY_TERM);
        let retry_unheard = is_recent && tally.unheard > 0;
        self.members_up_to_date =
            revision == head.revision && not_ready.sum::<usize>() == 0 && !retry_unheard;
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

/// Returns whether `period` has passed since `last`, and if so, sets `last` to now. `None` counts
/// as passed.
fn restart_if_due(last: &mut Option<Instant>, period: Duration) -> bool {
    if last.is_some_and(|last| last.elapsed() < period) {
        return false;
    }
    *last = Some(Instant::now());
    true
}
