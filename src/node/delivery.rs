//! Distribution of heads and roster updates down the data centre's tree, and aggregation of the
//! answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_http_client::HttpClient;

use crate::node::core::Core;
use crate::rollout::{Span, Tally, ring_position};
use crate::roster::Member;
use crate::wire::{ControlClient as _, Delivery, Peer, Pull, PullReply};

const MAX_ATTEMPTS_PER_SPAN: usize = 4;
/// Share of a delivery's time budget that the node has for applying the head itself.
const LOCAL_BUDGET_SHARE: f64 = 0.5;
/// Share of the remaining time budget that goes to the next level of the tree or to one of several
/// candidate recipients.
const FORWARD_BUDGET_SHARE: f64 = 0.8;
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// Applies a delivery on this node and forwards it to the rest of its span.
pub(crate) async fn handle_delivery(core: &Arc<Core>, delivery: Delivery) -> Tally {
    core.counters.count("deliveries");
    record_head_and_apply_updates(core, &delivery);
    let budget = Duration::from_millis(delivery.budget_ms);
    let (own, forwarded) = tokio::join!(
        apply_head(
            core,
            delivery.sender.mesh,
            budget.mul_f64(LOCAL_BUDGET_SHARE)
        ),
        forward_to_span(core, &delivery, budget.mul_f64(FORWARD_BUDGET_SHARE)),
    );
    let mut tally = own;
    tally.merge(forwarded);
    tally
}

/// Records a delivery's head, which [`apply_head`] then applies, and applies its roster updates.
/// Pulls from the sender if further updates are missing.
fn record_head_and_apply_updates(core: &Arc<Core>, delivery: &Delivery) {
    core.agent.update_head(&delivery.head);
    let updates_missing = core.apply_updates(&delivery.updates);
    let is_behind = core.with_view(|view| {
        let positions = delivery.positions.iter();
        positions
            .clone()
            .any(|(name, position)| view.position(name) < *position)
    });
    if updates_missing || is_behind {
        let core = core.clone();
        let sender = delivery.sender.control;
        tokio::spawn(async move { pull(&core, sender).await });
    }
}

/// Applies the newest head, with bundles from `source`, and returns this node's tally. After
/// `limit` the work goes on in the background.
pub(crate) async fn apply_head(core: &Arc<Core>, source: SocketAddr, limit: Duration) -> Tally {
    if !core.agent.has_applied_head() {
        let sources = core.sources(vec![source], false);
        let core = core.clone();
        let catch_up = tokio::spawn(async move { core.agent.catch_up(&sources).await });
        let _ = tokio::time::timeout(limit, catch_up).await;
    }
    own_tally(core)
}

/// The tally of this node alone.
pub(crate) fn own_tally(core: &Core) -> Tally {
    let roster = core.roster();
    core.agent.tally(|group| roster.groups.contains_key(group))
}

/// Forwards a delivery to the members of its span, which is split among child nodes.
pub(crate) async fn forward_to_span(
    core: &Arc<Core>,
    delivery: &Delivery,
    budget: Duration,
) -> Tally {
    let members = members_in_span(core, delivery);
    let positions: Vec<u64> = members.iter().map(|(position, _)| *position).collect();
    let mut children = tokio::task::JoinSet::new();
    for span in delivery.span.split(&positions) {
        let inside = members
            .iter()
            .filter(|(position, _)| span.contains(*position));
        let candidates: Vec<Arc<Member>> = inside.map(|(_, member)| member.clone()).collect();
        let child_delivery = Delivery {
            span,
            sender: Peer::from(&core.member()),
            ..delivery.clone()
        };
        children.spawn(send_to_span(
            core.clone(),
            candidates,
            child_delivery,
            budget,
        ));
    }
    let mut tally = Tally::default();
    while let Some(child_tally) = children.join_next().await {
        tally.merge(child_tally.unwrap_or_default());
    }
    tally
}

/// Members of this data centre inside the span, except this node and the registrar, in ring order.
fn members_in_span(core: &Core, delivery: &Delivery) -> Vec<(u64, Arc<Member>)> {
    let roster = core.roster();
    let own = &core.settings.node;
    let mut members: Vec<(u64, Arc<Member>)> = roster
        .members_in(&core.settings.data_center)
        .iter()
        .filter(|member| member.node != *own && member.node != delivery.registrar.node)
        .map(|member| (ring_position(delivery.seed, &member.node), member.clone()))
        .filter(|(position, _)| delivery.span.contains(*position))
        .collect();
    members.sort_by(|one, other| (one.0, &one.1.node).cmp(&(other.0, &other.1.node)));
    members
}

/// Sends the delivery to the first member of its span that answers, and counts those that do not.
/// Gives up after [`MAX_ATTEMPTS_PER_SPAN`] members.
async fn send_to_span(
    core: Arc<Core>,
    candidates: Vec<Arc<Member>>,
    mut delivery: Delivery,
    budget: Duration,
) -> Tally {
    let mut tally = Tally::default();
    let mut remaining = budget;
    for (index, member) in candidates.iter().enumerate() {
        if index >= MAX_ATTEMPTS_PER_SPAN {
            candidates[index..]
                .iter()
                .for_each(|m| tally.add_unheard(&m.node));
            break;
        }
        let limit = if candidates.len() > index + 1 {
            remaining.mul_f64(FORWARD_BUDGET_SHARE)
        } else {
            remaining
        };
        delivery.budget_ms =
            u64::try_from(limit.mul_f64(FORWARD_BUDGET_SHARE).as_millis()).unwrap_or(0);
        // Excludes the members that were tried before.
        delivery.span.first = if index == 0 {
            delivery.span.first
        } else {
            ring_position(delivery.seed, &member.node)
        };
        let message = delivery.clone();
        let started = std::time::Instant::now();
        let call = async |client: HttpClient| client.deliver(message).await;
        match core.peers.call(member.control, limit, call).await {
            Ok(span_tally) => {
                tally.merge(span_tally);
                return tally;
            }
            Err(error) => {
                log::debug!("delivery to {} failed: {error}", member.node);
                core.counters.count("deliveries_failed");
                tally.add_unheard(&member.node);
            }
        }
        remaining = remaining.saturating_sub(started.elapsed());
    }
    tally
}

/// Pulls the head and the roster updates that this node lacks from a peer, and applies them.
/// Returns whether the peer answered.
pub(crate) async fn pull(core: &Arc<Core>, peer: SocketAddr) -> bool {
    let Some(reply) = send_pull(core, peer).await else {
        return false;
    };
    core.apply_updates(&reply.updates);
    true
}

/// Requests the head and the roster updates that this node lacks from a peer. Records a newer
/// head; the caller applies the roster updates of the reply. `None` if the peer does not answer.
pub(crate) async fn send_pull(core: &Arc<Core>, peer: SocketAddr) -> Option<PullReply> {
    let request = Pull {
        revision: core.agent.head().revision,
        positions: core.with_view(crate::roster::View::positions),
    };
    core.counters.count("pulls");
    let call = async |client: HttpClient| client.pull(request).await;
    match core.peers.call(peer, PULL_TIMEOUT, call).await {
        Ok(reply) => {
            if let Some(head) = &reply.head {
                core.agent.update_head(head);
            }
            Some(reply)
        }
        Err(error) => {
            log::debug!("pull from {peer} failed: {error}");
            None
        }
    }
}

/// A delivery from the registrar to its entire data centre, without roster updates. Its time
/// budget is set for each recipient when it is sent.
pub(crate) fn new_delivery(core: &Core, registrar: crate::store::Holder) -> Delivery {
    Delivery {
        registrar,
        seed: rand::random(),
        span: Span::ALL,
        sender: Peer::from(&core.member()),
        head: core.agent.head(),
        updates: Vec::new(),
        positions: core.with_view(crate::roster::View::positions),
        budget_ms: 0,
    }
}
