//! Membership of this node: it announces itself to the registrar, probes its neighbours, and pulls
//! from random peers the updates that the dissemination tree did not deliver.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee_http_client::HttpClient;
use tokio::sync::watch;

use crate::node::core::{CALL_TIMEOUT, Core};
use crate::node::{delivery, registrar};
use crate::rollout::ring_position;
use crate::roster::Member;
use crate::store::Holder;
use crate::wire::{AnnounceReply, ControlClient as _, Silence};

/// Pause after the first failed announcement; doubled with every further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of failures after which the announcement backoff no longer grows.
const MAX_BACKOFF_FAILURES: u32 = 5;
const ANNOUNCEMENT_SPREAD_PER_MEMBER: Duration = Duration::from_millis(2);
/// A registrar counts as silent once it sent nothing for this many heartbeat periods.
const HEARTBEATS_UNTIL_SILENT: u32 = 3;
const PROBED_NEIGHBOURS: usize = 2;
const FAILED_PROBES_UNTIL_REPORT: u32 = 2;
const OTHER_DATA_CENTER_PROBABILITY: f64 = 0.1;
/// Seed of the ring that determines which members a node probes.
const NEIGHBOUR_RING_SEED: u64 = 0;

/// Keeps this node announced to its registrar, and contends for the lease if there is none.
pub(super) async fn run(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut failures = 0;
    loop {
        let failures_before = failures;
        failures = match announce(&core).await {
            Some(reply) if reply.accepted => {
                apply_announce_reply(&core, &reply).await;
                0
            }
            _ => {
                pull_from_seeds(&core).await;
                (failures_before + 1).min(MAX_BACKOFF_FAILURES)
            }
        };
        tokio::select! {
            () = wait_for_next_announcement(&core, failures) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Waits until this node has to announce itself again.
async fn wait_for_next_announcement(core: &Core, failures: u32) {
    if failures > 0 {
        let backoff = RETRY_PAUSE * 2_u32.pow(failures - 1);
        return tokio::time::sleep(jitter(backoff)).await;
    }
    let timing = core.settings.timing;
    tokio::select! {
        () = until_refresh(core, jitter(timing.refresh)) => {}
        () = core.announcement_due.notified() => spread_announcement(core).await,
        () = until_registrar_silent(core, timing.beat * HEARTBEATS_UNTIL_SILENT) => {}
    }
}

/// Waits for a random time that grows with the data centre, so that its members do not announce
/// themselves at the same time. A node that is leaving does not wait.
async fn spread_announcement(core: &Core) {
    let is_leaving = core.member().presence == crate::roster::Presence::Leaving;
    let members = core.roster().members_in(&core.settings.data_center).len();
    if !is_leaving {
        let window = ANNOUNCEMENT_SPREAD_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX);
        tokio::time::sleep(window.mul_f64(rand::random())).await;
    }
}

/// Waits until no message of the known registrar arrived for `limit`; forever if none is known.
async fn until_registrar_silent(core: &Core, limit: Duration) {
    loop {
        let Some(known) = core.registrar() else {
            return std::future::pending().await;
        };
        let since_contact = known.last_contact.elapsed();
        if since_contact >= limit {
            return;
        }
        tokio::time::sleep(limit.checked_sub(since_contact).unwrap()).await;
    }
}

/// Waits for `pause`. A standby waits at most a quarter of the lease term, so that it notices an
/// expired lease.
async fn until_refresh(core: &Core, pause: Duration) {
    let standby_period = core.settings.timing.lease_term / 4;
    let due = Instant::now() + pause;
    while Instant::now() < due {
        let remaining = due.saturating_duration_since(Instant::now());
        tokio::time::sleep(remaining.min(standby_period)).await;
        if registrar::is_standby(core) {
            return;
        }
    }
}

fn jitter(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * rand::random::<f64>())
}

/// Announces this node to the registrar. Uses the known one if it is not silent; otherwise, or if
/// this node is a standby, the one in the lease row.
async fn announce(core: &Arc<Core>) -> Option<AnnounceReply> {
    let silence_limit = core.settings.timing.beat * HEARTBEATS_UNTIL_SILENT;
    let known = core
        .registrar()
        .filter(|known| known.last_contact.elapsed() < silence_limit);
    let is_standby = registrar::is_standby(core);
    let holder = match known {
        Some(known) if !is_standby => Some(known.holder),
        _ => find_registrar(core).await,
    };
    let holder = holder?;
    let member = core.member();
    let call = async |client: HttpClient| client.announce(member).await;
    match core.peers.call(holder.control, CALL_TIMEOUT, call).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::debug!("announcement to the registrar failed: {error}");
            // A standby has already tried to acquire the lease in `find_registrar`.
            if !is_standby {
                let _ = core.lease.try_acquire().await;
            }
            None
        }
    }
}

/// The holder of the lease. Reads the lease row and acquires the lease if it is free or expired.
async fn find_registrar(core: &Arc<Core>) -> Option<Holder> {
    if let Some(own) = core.lease.presumed_holder() {
        return Some(own);
    }
    core.counters.count("lease_reads");
    core.lease.try_acquire().await.ok().flatten()
}

/// Applies the registrar's answer to an announcement: head, roster updates and bundles.
async fn apply_announce_reply(core: &Arc<Core>, reply: &AnnounceReply) {
    if let Some(holder) = &reply.registrar {
        core.record_registrar(holder);
    }
    core.agent.update_head(&reply.head);
    let is_behind = core.with_view(|view| {
        let mut positions = reply.positions.iter();
        positions.any(|(name, position)| view.position(name) < *position)
    });
    if is_behind {
        let peer = reply.peers.first().map(|peer| peer.control);
        let registrar = reply.registrar.as_ref().map(|holder| holder.control);
        for address in peer.into_iter().chain(registrar) {
            if delivery::pull(core, address).await {
                break;
            }
        }
    }
    if !core.agent.has_applied_head() {
        let peers = reply.peers.iter().map(|peer| peer.mesh).collect();
        let core = core.clone();
        tokio::spawn(async move { core.agent.catch_up(&core.sources(peers, false)).await });
    }
}

/// Pulls from the seeds in the settings while no registrar answers.
async fn pull_from_seeds(core: &Arc<Core>) {
    for seed in &core.settings.seeds {
        delivery::pull(core, *seed).await;
    }
    if !core.settings.seeds.is_empty() && !core.agent.has_applied_head() {
        let peers = core.random_peers(2).iter().map(|peer| peer.mesh).collect();
        core.agent.catch_up(&core.sources(peers, false)).await;
    }
}

/// Periodically probes the next members on the ring. Reports a member to the registrar after
/// [`FAILED_PROBES_UNTIL_REPORT`] failed probes in a row.
pub(super) async fn probe_neighbours(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut failures = std::collections::HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(jitter(core.settings.timing.probe)) => {}
            _ = stopped.changed() => return,
        }
        core.expire_unconfirmed();
        let neighbours = neighbours(&core);
        failures.retain(|node: &String, _| neighbours.iter().any(|member| member.node == *node));
        for member in neighbours {
            let is_alive = probe(&core, &member).await;
            let failed_probes = failures.entry(member.node.clone()).or_insert(0);
            *failed_probes = if is_alive { 0 } else { *failed_probes + 1 };
            if *failed_probes >= FAILED_PROBES_UNTIL_REPORT {
                *failed_probes = 0;
                report_silence(&core, &member).await;
            }
        }
    }
}

/// Whether the member's node answers with the incarnation in the roster or a later one.
pub(super) async fn probe(core: &Core, member: &Member) -> bool {
    let limit = (core.settings.timing.probe / 2).max(Duration::from_millis(100));
    let call = async |client: HttpClient| client.probe().await;
    let answer = core.peers.call(member.control, limit, call).await;
    answer.is_ok_and(|reply| reply.node == member.node && reply.incarnation >= member.incarnation)
}

/// The members of this data centre that follow this node on the ring.
fn neighbours(core: &Core) -> Vec<Arc<Member>> {
    let roster = core.roster();
    let own = ring_position(NEIGHBOUR_RING_SEED, &core.settings.node);
    let mut others: Vec<(u64, &Arc<Member>)> = roster
        .members_in(&core.settings.data_center)
        .iter()
        .filter(|member| member.node != core.settings.node)
        .map(|member| {
            (
                ring_position(NEIGHBOUR_RING_SEED, &member.node).wrapping_sub(own),
                member,
            )
        })
        .collect();
    others.sort_by_key(|(distance, _)| *distance);
    others
        .into_iter()
        .take(PROBED_NEIGHBOURS)
        .map(|(_, member)| member.clone())
        .collect()
}

/// Reports to the registrar that a member does not answer this node; the registrar probes it too.
async fn report_silence(core: &Core, member: &Member) {
    core.counters.count("silences_reported");
    let Some(known) = core.registrar() else {
        return;
    };
    let silence = Silence {
        node: member.node.clone(),
        incarnation: member.incarnation,
    };
    let call = async |client: HttpClient| client.silent(silence).await;
    let _ = core
        .peers
        .call(known.holder.control, CALL_TIMEOUT, call)
        .await;
}

/// Periodically pulls from a random peer, to get what the dissemination tree did not deliver.
pub(super) async fn pull_from_peers(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(jitter(core.settings.timing.pull)) => {}
            _ = stopped.changed() => return,
        }
        let Some(peer) = random_peer(&core) else {
            continue;
        };
        delivery::pull(&core, peer).await;
        if !core.agent.has_applied_head() {
            let peers = core.random_peers(2).iter().map(|peer| peer.mesh).collect();
            core.agent.catch_up(&core.sources(peers, false)).await;
        }
    }
}

/// Control address of a random peer: mostly a member of the same data centre, sometimes one of
/// another data centre in the region.
fn random_peer(core: &Core) -> Option<SocketAddr> {
    let roster = core.roster();
    let own = &core.settings;
    let from_other_data_center = rand::random_bool(OTHER_DATA_CENTER_PROBABILITY);
    let is_eligible = |member: &&Arc<Member>| {
        let same_data_center = member.data_center == own.data_center;
        member.node != own.node
            && member.region == own.region
            && same_data_center != from_other_data_center
    };
    let members: Vec<&Arc<Member>> = roster
        .data_centers
        .values()
        .flatten()
        .filter(is_eligible)
        .collect();
    if members.is_empty() {
        return core.random_peers(1).first().map(|peer| peer.control);
    }
    Some(members[rand::random_range(0..members.len())].control)
}
