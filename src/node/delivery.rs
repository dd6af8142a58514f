//! Hands news down the data centre's tree and sums up the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee_http_client::HttpClient;

use crate::node::core::Core;
use crate::rollout::{Span, Tally, position};
use crate::roster::Member;
use crate::wire::{ControlClient as _, Delivery, Peer, Pull, PullReply};

const MAX_TRIES_PER_SPAN: usize = 4;
const SETTLE_SHARE: f64 = 0.5;
const CHILD_SHARE: f64 = 0.8;
const PULL_TIMEOUT: Duration = Duration::from_secs(5);

/// Carries out a delivery at this node and hands it to the rest of its span.
pub(crate) async fn accept(core: &Arc<Core>, delivery: Delivery) -> Tally {
    core.counters.count("deliveries");
    take(core, &delivery);
    let budget = Duration::from_millis(delivery.budget_ms);
    let (own, below) = tokio::join!(
        settle(core, delivery.sender.mesh, budget.mul_f64(SETTLE_SHARE)),
        forward(core, &delivery, budget.mul_f64(CHILD_SHARE)),
    );
    let mut tally = own;
    tally.merge(below);
    tally
}

/// Takes in what a delivery says, and pulls what it shows to be missing.
fn take(core: &Arc<Core>, delivery: &Delivery) {
    core.agent.learn(&delivery.head);
    let gap = core.apply(&delivery.updates);
    let behind = core.with_view(|view| {
        let theirs = delivery.positions.iter();
        theirs
            .clone()
            .any(|(name, position)| view.position(name) < *position)
    });
    if gap || behind {
        let core = core.clone();
        let sender = delivery.sender.control;
        tokio::spawn(async move { pull(&core, sender).await });
    }
}

/// Waits until this node has carried out the newest head, at most `limit`, and counts itself.
pub(crate) async fn settle(core: &Arc<Core>, source: SocketAddr, limit: Duration) -> Tally {
    if !core.agent.settled() {
        let sources = core.sources(vec![source], false);
        let core = core.clone();
        let work = tokio::spawn(async move { core.agent.catch_up(&sources).await });
        let _ = tokio::time::timeout(limit, work).await;
    }
    own_tally(core)
}

pub(crate) fn own_tally(core: &Core) -> Tally {
    let roster = core.roster();
    core.agent.tally(|group| roster.groups.contains_key(group))
}

/// Hands a delivery to the members of its span, split among children.
pub(crate) async fn forward(core: &Arc<Core>, delivery: &Delivery, budget: Duration) -> Tally {
    let members = members_of(core, delivery);
    let positions: Vec<u64> = members.iter().map(|(position, _)| *position).collect();
    let mut children = tokio::task::JoinSet::new();
    for span in delivery.span.split(&positions) {
        let inside = members
            .iter()
            .filter(|(position, _)| span.contains(*position));
        let candidates: Vec<Arc<Member>> = inside.map(|(_, member)| member.clone()).collect();
        let part = Delivery {
            span,
            sender: Peer::from(&core.member()),
            ..delivery.clone()
        };
        children.spawn(hand_over(core.clone(), candidates, part, budget));
    }
    let mut tally = Tally::default();
    while let Some(below) = children.join_next().await {
        tally.merge(below.unwrap_or_default());
    }
    tally
}

/// Members of this data centre inside the span, other than this node, in ring order.
fn members_of(core: &Core, delivery: &Delivery) -> Vec<(u64, Arc<Member>)> {
    let roster = core.roster();
    let own = &core.settings.node;
    let mut members: Vec<(u64, Arc<Member>)> = roster
        .center(&core.settings.data_center)
        .iter()
        .filter(|member| member.node != *own && member.node != delivery.registrar.node)
        .map(|member| (position(delivery.seed, &member.node), member.clone()))
        .filter(|(position, _)| delivery.span.contains(*position))
        .collect();
    members.sort_by(|one, other| (one.0, &one.1.node).cmp(&(other.0, &other.1.node)));
    members
}

/// Hands a span to its first member that answers.
async fn hand_over(
    core: Arc<Core>,
    candidates: Vec<Arc<Member>>,
    mut part: Delivery,
    budget: Duration,
) -> Tally {
    let mut tally = Tally::default();
    let mut left = budget;
    for (index, member) in candidates.iter().enumerate() {
        if index >= MAX_TRIES_PER_SPAN {
            candidates[index..]
                .iter()
                .for_each(|m| tally.add_unheard(&m.node));
            break;
        }
        let limit = if candidates.len() > index + 1 {
            left.mul_f64(CHILD_SHARE)
        } else {
            left
        };
        part.budget_ms = u64::try_from(limit.mul_f64(CHILD_SHARE).as_millis()).unwrap_or(0);
        part.span.first = if index == 0 {
            part.span.first
        } else {
            position(part.seed, &member.node)
        };
        let message = part.clone();
        let began = std::time::Instant::now();
        let call = async |client: HttpClient| client.deliver(message).await;
        match core.peers.call(member.control, limit, call).await {
            Ok(below) => {
                tally.merge(below);
                return tally;
            }
            Err(error) => {
                log::debug!("delivery to {}: {error}", member.node);
                core.counters.count("deliveries_failed");
                tally.add_unheard(&member.node);
            }
        }
        left = left.saturating_sub(began.elapsed());
    }
    tally
}

/// Asks a peer for whatever this node lacks.
pub(crate) async fn pull(core: &Arc<Core>, peer: SocketAddr) -> bool {
    let Some(news) = ask(core, peer).await else {
        return false;
    };
    core.apply(&news.updates);
    true
}

/// Asks a peer for whatever this node lacks; a newer head is learned at once, the roster updates
/// are the caller's to apply.
pub(crate) async fn ask(core: &Arc<Core>, peer: SocketAddr) -> Option<PullReply> {
    let question = Pull {
        revision: core.agent.head().revision,
        positions: core.with_view(crate::roster::View::positions),
    };
    core.counters.count("pulls");
    let call = async |client: HttpClient| client.pull(question).await;
    match core.peers.call(peer, PULL_TIMEOUT, call).await {
        Ok(news) => {
            if let Some(head) = &news.head {
                core.agent.learn(head);
            }
            Some(news)
        }
        Err(error) => {
            log::debug!("pull: {error}");
            None
        }
    }
}

/// A delivery of the registrar to its whole data centre.
pub(crate) fn whole(core: &Core, registrar: crate::store::Holder) -> Delivery {
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
