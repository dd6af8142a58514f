//! A node's life as a member: it announces itself, probes its neighbours, and pulls from random
//! peers whatever the tree did not bring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jsonrpsee_http_client::HttpClient;
use tokio::sync::watch;

use crate::node::core::{CALL_TIMEOUT, Core};
use crate::node::{delivery, lead};
use crate::rollout::position;
use crate::roster::Member;
use crate::store::Holder;
use crate::wire::{AnnounceReply, ControlClient as _, Silence};

const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_FAILURES_COUNTED: u32 = 5;
const HERD_SPREAD_PER_MEMBER: Duration = Duration::from_millis(2);
const BEATS_UNTIL_SILENCE: u32 = 3;
const NEIGHBOURS: usize = 2;
const PROBES_UNTIL_SILENCE: u32 = 2;
const OTHER_CENTER_ODDS: f64 = 0.1;
const RING_SEED: u64 = 0;

/// Keeps this node announced to its registrar; contends for the lease where there is none.
pub(super) async fn run(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut failures = 0;
    loop {
        let failures_before = failures;
        failures = match announce(&core).await {
            Some(welcome) if welcome.accepted => {
                take_welcome(&core, &welcome).await;
                0
            }
            _ => {
                start_from_seeds(&core).await;
                (failures_before + 1).min(MAX_FAILURES_COUNTED)
            }
        };
        tokio::select! {
            () = rest(&core, failures) => {}
            _ = stopped.changed() => return,
        }
    }
}

/// Waits until this node has to announce itself again.
async fn rest(core: &Core, failures: u32) {
    if failures > 0 {
        let backoff = RETRY_PAUSE * 2_u32.pow(failures - 1);
        return tokio::time::sleep(jitter(backoff)).await;
    }
    let timing = core.settings.timing;
    tokio::select! {
        () = until_refresh(core, jitter(timing.refresh)) => {}
        () = core.announce.notified() => spread(core).await,
        () = until_silent(core, timing.beat * BEATS_UNTIL_SILENCE) => {}
    }
}

/// Waits a moment, so that members of a large data centre do not announce at the same time.
async fn spread(core: &Core) {
    let leaving = core.member().presence == crate::roster::Presence::Leaving;
    let members = core.roster().center(&core.settings.data_center).len();
    if !leaving {
        let window = HERD_SPREAD_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX);
        tokio::time::sleep(window.mul_f64(rand::random())).await;
    }
}

async fn until_silent(core: &Core, limit: Duration) {
    loop {
        let Some(known) = core.registrar() else {
            return std::future::pending().await;
        };
        let heard = known.heard.elapsed();
        if heard >= limit {
            return;
        }
        tokio::time::sleep(limit.checked_sub(heard).unwrap()).await;
    }
}

/// Waits for `pause`, or until the lease is to be looked at if this node is a standby.
async fn until_refresh(core: &Core, pause: Duration) {
    let standby_period = core.settings.timing.lease_term / 4;
    let due = Instant::now() + pause;
    while Instant::now() < due {
        let left = due.saturating_duration_since(Instant::now());
        tokio::time::sleep(left.min(standby_period)).await;
        if lead::is_standby(core) {
            return;
        }
    }
}

fn jitter(period: Duration) -> Duration {
    period.mul_f64(0.75 + 0.5 * rand::random::<f64>())
}

/// Announces this node to the registrar that it knows, or else to the one in the lease row.
async fn announce(core: &Arc<Core>) -> Option<AnnounceReply> {
    let silence = core.settings.timing.beat * BEATS_UNTIL_SILENCE;
    let known = core
        .registrar()
        .filter(|known| known.heard.elapsed() < silence);
    let standby = lead::is_standby(core);
    let holder = match known {
        Some(known) if !standby => Some(known.holder),
        _ => find_registrar(core).await,
    };
    let holder = holder?;
    let member = core.member();
    let call = async |client: HttpClient| client.announce(member).await;
    match core.peers.call(holder.control, CALL_TIMEOUT, call).await {
        Ok(welcome) => Some(welcome),
        Err(error) => {
            log::debug!("announcement: {error}");
            if !standby {
                let _ = core.lease.try_acquire().await;
            }
            None
        }
    }
}

/// Reads the lease row, and takes the lease if it is free or has lapsed.
async fn find_registrar(core: &Arc<Core>) -> Option<Holder> {
    if let Some(own) = core.lease.presumed_holder() {
        return Some(own);
    }
    core.counters.count("lease_reads");
    core.lease.try_acquire().await.ok().flatten()
}

async fn take_welcome(core: &Arc<Core>, welcome: &AnnounceReply) {
    if let Some(holder) = &welcome.registrar {
        core.heard_registrar(holder);
    }
    core.agent.learn(&welcome.head);
    let behind = core.with_view(|view| {
        let mut theirs = welcome.positions.iter();
        theirs.any(|(name, position)| view.position(name) < *position)
    });
    if behind {
        let peer = welcome.peers.first().map(|peer| peer.control);
        let registrar = welcome.registrar.as_ref().map(|holder| holder.control);
        for address in peer.into_iter().chain(registrar) {
            if delivery::pull(core, address).await {
                break;
            }
        }
    }
    if !core.agent.settled() {
        let peers = welcome.peers.iter().map(|peer| peer.mesh).collect();
        let core = core.clone();
        tokio::spawn(async move { core.agent.catch_up(&core.sources(peers, false)).await });
    }
}

/// Learns from the settings' seeds while there is no registrar.
async fn start_from_seeds(core: &Arc<Core>) {
    for seed in &core.settings.seeds {
        delivery::pull(core, *seed).await;
    }
    if !core.settings.seeds.is_empty() && !core.agent.settled() {
        let peers = core.some_peers(2).iter().map(|peer| peer.mesh).collect();
        core.agent.catch_up(&core.sources(peers, false)).await;
    }
}

/// Probes the next members on the ring, and tells the registrar of those that stay silent.
pub(super) async fn probe_neighbours(core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let mut failures = std::collections::HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(jitter(core.settings.timing.probe)) => {}
            _ = stopped.changed() => return,
        }
        core.expire();
        let neighbours = neighbours(&core);
        failures.retain(|node: &String, _| neighbours.iter().any(|member| member.node == *node));
        for member in neighbours {
            let alive = probe(&core, &member).await;
            let failed = failures.entry(member.node.clone()).or_insert(0);
            *failed = if alive { 0 } else { *failed + 1 };
            if *failed >= PROBES_UNTIL_SILENCE {
                *failed = 0;
                tell_silence(&core, &member).await;
            }
        }
    }
}

/// Whether the member's process answers under the incarnation in the roster.
pub(super) async fn probe(core: &Core, member: &Member) -> bool {
    let limit = (core.settings.timing.probe / 2).max(Duration::from_millis(100));
    let call = async |client: HttpClient| client.probe().await;
    let answer = core.peers.call(member.control, limit, call).await;
    answer.is_ok_and(|alive| alive.node == member.node && alive.incarnation >= member.incarnation)
}

fn neighbours(core: &Core) -> Vec<Arc<Member>> {
    let roster = core.roster();
    let own = position(RING_SEED, &core.settings.node);
    let mut others: Vec<(u64, &Arc<Member>)> = roster
        .center(&core.settings.data_center)
        .iter()
        .filter(|member| member.node != core.settings.node)
        .map(|member| (position(RING_SEED, &member.node).wrapping_sub(own), member))
        .collect();
    others.sort_by_key(|(distance, _)| *distance);
    others
        .into_iter()
        .take(NEIGHBOURS)
        .map(|(_, member)| member.clone())
        .collect()
}

async fn tell_silence(core: &Core, member: &Member) {
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

/// Pulls from a random peer now and then, which repairs what the tree missed.
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
        if !core.agent.settled() {
            let peers = core.some_peers(2).iter().map(|peer| peer.mesh).collect();
            core.agent.catch_up(&core.sources(peers, false)).await;
        }
    }
}

/// Mostly a member of the same data centre, now and then one of another in the region.
fn random_peer(core: &Core) -> Option<SocketAddr> {
    let roster = core.roster();
    let own = &core.settings;
    let elsewhere = rand::random_bool(OTHER_CENTER_ODDS);
    let fits = |member: &&Arc<Member>| {
        let same_center = member.data_center == own.data_center;
        member.node != own.node && member.region == own.region && same_center != elsewhere
    };
    let members: Vec<&Arc<Member>> = roster.centers.values().flatten().filter(fits).collect();
    if members.is_empty() {
        return core.some_peers(1).first().map(|peer| peer.control);
    }
    Some(members[rand::random_range(0..members.len())].control)
}
