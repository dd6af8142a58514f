//! The accepting side of links.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::h1;
use crate::link::frame::{Entry, Frame, Hello, Offer, Packed, Reply, Status, Ticket, Update};
use crate::link::jobs::Jobs;
use crate::link::session::{self, Sender};
use crate::verdict::{Reason, Refusal};

/// Pause after a failed `accept`, as when descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time for a new connection to say who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which requests of a lost connection go on, so that their node can ask for the answers
/// on a new one.
const RECONNECT_GRACE: Duration = Duration::from_millis(1_500);

/// What a node lacks that a peer has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Wanted {
    /// The version in force.
    pub version: bool,
    /// Entries of nodes.
    pub roster: bool,
}

/// What a node does with what it hears over links.
#[async_trait]
pub(crate) trait Service: Send + Sync + 'static {
    /// Who this node is.
    fn hello(&self) -> Hello;

    /// Runs an offered request at the target beside this node. Dropping the future cancels the
    /// request, unless it must not be repeated and has begun.
    async fn run(&self, offer: Offer) -> Result<h1::Response, Refusal>;

    /// Takes a peer's status; returns what to ask the peer for.
    fn observe(&self, node: &str, status: Status) -> Wanted;

    /// Takes update.
    fn learn(&self, update: Update);

    /// All entries that this node knows.
    fn roster(&self) -> Update;

    /// The version in force if it is above `version`, which the asker has.
    fn version_above(&self, version: u64) -> Option<Packed>;

    /// Takes a version.
    fn learn_version(&self, packed: &Packed);
}

/// Answers what any side of a link may be asked. Returns the frame if it is none of that.
pub(super) fn answer_common(
    service: &dyn Service,
    peer: &Entry,
    frame: Frame,
    sender: &Sender,
) -> Option<Frame> {
    match frame {
        Frame::Ping => {
            sender.send(Frame::Pong(service.hello().status));
        }
        Frame::Pong(status) => hear(service, peer, status, sender),
        Frame::Update(update) => service.learn(*update),
        Frame::FetchRoster => {
            sender.send(Frame::Update(Box::new(service.roster())));
        }
        Frame::FetchVersion(known) => {
            if let Some(packed) = service.version_above(known) {
                sender.send(Frame::Version(packed));
            }
        }
        Frame::Version(packed) => service.learn_version(&packed),
        other => return Some(other),
    }
    None
}

/// Takes a peer's status, and asks for its version where it is newer.
pub(super) fn hear(service: &dyn Service, peer: &Entry, status: Status, sender: &Sender) {
    let wanted = service.observe(&peer.node, status);
    if wanted.version {
        sender.send(Frame::FetchVersion(service.hello().status.version));
    }
    if wanted.roster {
        sender.send(Frame::FetchRoster);
    }
}

/// Accepts links until `stopped` closes.
pub(crate) async fn listen(
    listener: TcpListener,
    service: Arc<dyn Service>,
    mut stopped: watch::Receiver<()>,
) {
    let jobs = Arc::new(Jobs::default());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed", listener = "mesh"; "{error}");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let (service, jobs) = (service.clone(), jobs.clone());
        tokio::spawn(async move {
            if let Err(error) = serve(stream, service, jobs).await {
                log::debug!(event = "link_closed"; "{error}");
            }
        });
    }
}

async fn serve(stream: TcpStream, service: Arc<dyn Service>, jobs: Arc<Jobs>) -> Result<()> {
    let (sender, mut receiver) = session::start(stream)?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, receiver.next()).await;
    let Ok(Ok(Frame::Hello(hello))) = hello else {
        return Err(Error::Peer("no greeting".into()));
    };
    sender.send(Frame::Hello(Box::new(service.hello())));
    let peer = hello.entry;
    service.learn(Update {
        entries: vec![peer.clone()],
        ..Update::default()
    });
    hear(service.as_ref(), &peer, hello.status, &sender);
    let ended = loop {
        let frame = match receiver.next().await {
            Ok(frame) => frame,
            Err(error) => break error,
        };
        match answer_common(service.as_ref(), &peer, frame, &sender) {
            Some(Frame::Offer(offer)) => begin(&service, &jobs, *offer, &sender),
            Some(Frame::Cancel(ticket)) => jobs.cancel(ticket),
            Some(Frame::Inquire(ticket, incarnation)) => {
                inquire(service.as_ref(), &jobs, ticket, incarnation, &sender);
            }
            _ => {}
        }
    };
    tokio::time::sleep(RECONNECT_GRACE).await;
    jobs.abandon(&sender);
    Err(ended)
}

/// Starts an offered request in a task of its own.
fn begin(service: &Arc<dyn Service>, jobs: &Arc<Jobs>, offer: Offer, sender: &Sender) {
    let ticket = offer.ticket;
    if !jobs.begin(ticket, sender.clone()) {
        let refused = Reply::Refused(Refusal::not_run(Reason::ConnectionLost));
        let status = service.hello().status;
        sender.send(Frame::Reply(ticket, status, Box::new(refused)));
        return;
    }
    let ending = Ending {
        service: service.clone(),
        jobs: jobs.clone(),
        ticket,
        reply: None,
    };
    let task = tokio::spawn(run(offer, ending));
    jobs.cancel_by(ticket, task.abort_handle());
}

async fn run(offer: Offer, mut ending: Ending) {
    let outcome = ending.service.run(offer).await;
    ending.reply = Some(match outcome {
        Ok(response) => Reply::Answer((&response).into()),
        Err(refusal) => Reply::Refused(refusal),
    });
}

/// Ends an offer when dropped, also where its task was cancelled.
struct Ending {
    service: Arc<dyn Service>,
    jobs: Arc<Jobs>,
    ticket: Ticket,
    reply: Option<Reply>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        let cancelled = || Reply::Refused(Refusal::may_have_run(Reason::Cancelled));
        let reply = self.reply.take().unwrap_or_else(cancelled);
        self.jobs
            .end(self.ticket, self.service.hello().status, reply);
    }
}

fn inquire(service: &dyn Service, jobs: &Jobs, ticket: Ticket, incarnation: u64, asker: &Sender) {
    let hello = service.hello();
    if hello.entry.incarnation == incarnation {
        jobs.inquire(ticket, hello.status, asker.clone());
        return;
    }
    let lost = Reply::Refused(Refusal::may_have_run(Reason::ConnectionLost));
    asker.send(Frame::Reply(ticket, hello.status, Box::new(lost)));
}
