//! Copies of what this node knows of its target, at other nodes.
//!
//! A target that was told that its departure or draining is known relies on it, also after this
//! process has ended. While the store does not accept the node's row, other nodes keep it instead. A
//! process that starts asks the same nodes before it announces its target. See
//! `docs/design/acknowledgements.md`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::watch;

use crate::link::{Link, Update};
use crate::sidecar::hub::Hub;

/// Number of nodes that are asked to keep a copy, and that a starting process asks.
const HOLDERS: usize = 3;
/// Copies that bind later processes. More than half of [`HOLDERS`], so that a process that hears from as
/// many finds one.
const COPIES: usize = 2;
/// Time for a node to confirm a copy or to answer; longer than one attempt to connect.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(550);
/// Pause before the nodes are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after the start from which the nodes that are known count as all, although another node's
/// entries differ.
const MAX_DISCOVERY: Duration = Duration::from_secs(2);
/// Time for the store to accept the row before copies are made.
const STORE_GRACE: Duration = Duration::from_millis(300);
/// Time after which a notice that is not safe is not acknowledged; below the time for which targets wait
/// for the acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Waits until what is known of the target outlives this process: in the store, or at other nodes.
/// Returns `false` if that takes too long.
pub(super) async fn secure(hub: &Hub) -> bool {
    let secured = async {
        // What an earlier process knew comes first.
        hub.runner.wait_until_released().await;
        tokio::select! {
            () = hub.wait_until_stored() => {}
            () = wait_until_copied(hub) => {
                log::info!(
                    event = "target_copied";
                    "the store does not accept what is known of the target; other nodes keep it"
                );
            }
        }
    };
    tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, secured)
        .await
        .is_ok()
}

/// Waits until enough other nodes have confirmed the own entry, and the entry shows what is known of the
/// target.
async fn wait_until_copied(hub: &Hub) {
    if hub.source_reachable() {
        tokio::time::sleep(STORE_GRACE).await;
    }
    loop {
        let entry = hub.own_entry();
        let is_current = {
            let known = hub.runner.subscribe();
            let known = known.borrow();
            (entry.presence, &entry.target) == (known.0, &known.1)
        };
        let update = Update {
            entries: vec![entry],
            ..Update::default()
        };
        if is_current && ask(hub, &update, COPIES).await.is_enough() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Nodes that were asked.
struct Answers {
    /// Number of other nodes that are known.
    known: usize,
    confirmed: usize,
}

impl Answers {
    /// Whether so many nodes have confirmed that a copy is safe, or that one would have been found.
    fn is_enough(&self) -> bool {
        self.known > 0 && self.confirmed >= COPIES.min(self.known)
    }
}

/// Sends an update to the first reachable holders, and waits until `wanted` of them have confirmed it, or
/// all have answered or failed.
async fn ask(hub: &Hub, update: &Update, wanted: usize) -> Answers {
    let holders = hub.directory.holders(&hub.own_entry().node);
    let known = holders.len();
    let reachable = holders.into_iter().filter(|link| !link.is_unreachable());
    let mut pending: FuturesUnordered<_> = reachable
        .take(HOLDERS)
        .map(|link| confirm(link, update.clone()))
        .collect();
    let mut confirmed = 0;
    while confirmed < wanted
        && let Some(is_confirmed) = pending.next().await
    {
        confirmed += usize::from(is_confirmed);
    }
    Answers { known, confirmed }
}

async fn confirm(link: Arc<Link>, update: Update) -> bool {
    let confirmed = tokio::time::timeout(ANSWER_TIMEOUT, link.send_confirmed(update));
    confirmed.await.unwrap_or(false)
}

/// Lets the target be announced once this process knows what earlier ones have acknowledged, from the
/// node's row and from other nodes. Ends then, or when `stopped` closes.
pub(super) async fn release_target(hub: Arc<Hub>, mut stopped: watch::Receiver<()>) {
    let started = Instant::now();
    let mut own_row = hub.subscribe_own_row();
    while !is_informed(&hub, started, &own_row).await {
        tokio::select! {
            () = tokio::time::sleep(RETRY_PAUSE) => {}
            _ = own_row.changed() => {}
            _ = stopped.changed() => return,
        }
    }
    hub.runner.release();
    log::info!(
        event = "target_released",
        after_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
        nodes = hub.directory.len();
        "what earlier processes acknowledged is known; the target may be announced"
    );
}

/// Whether this process knows what earlier ones have acknowledged. `own_row` says whether the node had a
/// row, once it is read.
async fn is_informed(hub: &Hub, started: Instant, own_row: &watch::Receiver<Option<bool>>) -> bool {
    if *own_row.borrow() == Some(false) {
        // There was no earlier process.
        return true;
    }
    if !hub.knows_nodes() && (hub.directory.len() <= 1 || started.elapsed() < MAX_DISCOVERY) {
        return false;
    }
    // Their answers follow what they know of this node.
    let answers = ask(hub, &Update::default(), HOLDERS).await;
    answers.is_enough() || own_row.borrow().is_some()
}
