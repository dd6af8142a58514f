//! Messages between two nodes, by `postcard` in frames of `tokio-util`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};
use xxhash_rust::xxh3::Xxh3;

use crate::error::Error;
use crate::h1;
use crate::roster::{Crash, Presence};
use crate::verdict::Refusal;

/// Largest frame in bytes; above the largest body that a request may have.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Identifies one offer of one request; drawn at random by the offering node.
pub(crate) type Ticket = u64;

/// An HTTP message without its connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Method of a request, status of a response.
    start: String,
    /// Path and query of a request.
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Message {
    /// Bytes that the message holds.
    pub(super) fn size(&self) -> usize {
        let headers = self.headers.iter();
        self.body.len() + headers.map(|(n, v)| n.len() + v.len()).sum::<usize>()
    }
}

impl From<&h1::Request> for Message {
    fn from(request: &h1::Request) -> Self {
        Self {
            start: request.method.to_string(),
            target: request.target.clone(),
            headers: header_list(&request.headers),
            body: request.body.to_vec(),
        }
    }
}

impl From<&h1::Response> for Message {
    fn from(response: &h1::Response) -> Self {
        Self {
            start: response.status.as_u16().to_string(),
            target: String::new(),
            headers: header_list(&response.headers),
            body: response.body.to_vec(),
        }
    }
}

impl TryFrom<Message> for h1::Request {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self, Error> {
        let method = message.start.parse();
        Ok(Self {
            method: method.map_err(|_| Error::Peer("unknown method".into()))?,
            target: message.target,
            headers: header_map(message.headers)?,
            body: message.body.into(),
            keep_alive: true,
        })
    }
}

impl TryFrom<Message> for h1::Response {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self, Error> {
        let status = message.start.parse();
        Ok(Self {
            status: status.map_err(|_| Error::Peer("unknown status".into()))?,
            headers: header_map(message.headers)?,
            body: message.body.into(),
            keep_alive: true,
        })
    }
}

fn header_list(headers: &hyper::HeaderMap) -> Vec<(String, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn header_map(list: Vec<(String, Vec<u8>)>) -> Result<hyper::HeaderMap, Error> {
    let mut headers = hyper::HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_maybe_shared(Bytes::from(value));
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(Error::Peer("unreadable header".into())),
        };
    }
    Ok(headers)
}

/// A request offered to the node beside a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// Identifies the offer.
    pub ticket: Ticket,
    /// Service that the route names.
    pub service: String,
    /// Name of the route, for logs.
    pub route: String,
    /// The caller's id of the request.
    pub request_id: String,
    /// Service of the VM on which the request began.
    pub caller_service: String,
    /// The request itself.
    pub message: Message,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Whether another target may have run it before.
    pub repeated: bool,
    /// Rank of the route; 0 goes first.
    pub rank: u32,
    /// Longest wait for a slot.
    pub max_wait: Duration,
    /// Time left until the latency objective.
    pub objective: Duration,
    /// Time left until the caller gives up.
    pub left: Duration,
    /// Usual run time of the route's requests.
    pub expected: Duration,
    /// Identifies requests that would do the same.
    pub fingerprint: u64,
}

/// A node and the target beside it, as the node announces them. Of two entries of a node the one
/// with the higher incarnation, then the higher revision, is newer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Name of the node.
    pub node: String,
    /// Start of the node's process in milliseconds since 1970, raised where needed to be above
    /// every earlier one.
    pub incarnation: u64,
    /// Number of changes since the process started.
    pub revision: u64,
    /// Where the node accepts links.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
    /// Whether the target takes new work.
    pub presence: Presence,
    /// The target, once the node knows it.
    pub target: Option<Target>,
}

/// The target beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Target {
    /// Identity of the target.
    pub id: String,
    /// Start of the target in milliseconds since 1970.
    pub started_ms: u64,
    /// Number of the heartbeat that the announcement rests on.
    pub sequence: u64,
    /// Service that it runs.
    pub service: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Time after the announcement for which it is slower than usual, in milliseconds.
    pub cold_ms: u64,
}

impl Entry {
    /// Digest of the node's name, incarnation and revision.
    pub(crate) fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.node.as_bytes());
        hash.update(&self.incarnation.to_le_bytes());
        hash.update(&self.revision.to_le_bytes());
        hash.digest()
    }

    /// Whether this entry replaces `other`, an entry of the same node.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}

/// State of the target beside a node, as its node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Average run time in milliseconds.
    pub run_ms: u32,
    /// Run times in percent of what is usual for their routes.
    pub slowness_percent: u32,
    /// Failed and spoiled answers among recent ones, in percent.
    pub failing_percent: u32,
}

/// State of a node that goes with every reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Status {
    /// Version in force, 0 before the first.
    pub version: u64,
    /// Whether the sender hears the platform's store.
    pub store_reachable: bool,
    /// Digest of the entries that the sender knows.
    pub roster: u64,
    /// Load of the target.
    pub load: Load,
}

/// First message of each side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The sender.
    pub entry: Entry,
    /// Its status.
    pub status: Status,
}

/// Something that all nodes should know.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Update {
    /// Entries that changed.
    pub entries: Vec<Entry>,
    /// Nodes that are gone for good, with their last incarnations.
    pub gone: Vec<(String, u64)>,
    /// Crashes of targets.
    pub crashes: Vec<Crash>,
    /// Fingerprints that completed after they were suspected.
    pub cleared: Vec<u64>,
}

/// A version's bytes as the platform holds them, compressed against an earlier version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Packed {
    /// Number of the earlier version; 0 if there is none.
    pub base: u64,
    /// Number of bytes before compression.
    pub size: usize,
    /// Compressed bytes.
    pub bytes: Vec<u8>,
}

/// End of one offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The target's whole answer.
    Answer(Message),
    /// No answer; the refusal says whether the request may have run.
    Refused(Refusal),
}

/// A message between two nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// First message of each side.
    Hello(Box<Hello>),
    /// Offers a request.
    Offer(Box<Offer>),
    /// Ends an offer.
    Reply(Ticket, Status, Box<Reply>),
    /// The caller has left.
    Cancel(Ticket),
    /// Asks for the end of an offer that was made on an earlier connection to the process with the
    /// given incarnation.
    Inquire(Ticket, u64),
    /// Asks for a sign of life.
    Ping,
    /// Sign of life.
    Pong(Status),
    /// Changes that concern all.
    Update(Box<Update>),
    /// Asks for all entries that the peer knows.
    FetchRoster,
    /// Asks for the version in force, if it is higher than the given one.
    FetchVersion(u64),
    /// A version, compressed.
    Version(Packed),
}

/// Frames on a byte stream.
pub(super) struct Codec(LengthDelimitedCodec);

impl Codec {
    pub(super) fn new() -> Self {
        let builder = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self(builder)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.0.decode(source)? else {
            return Ok(None);
        };
        let frame = postcard::from_bytes(&bytes);
        frame
            .map(Some)
            .map_err(|error| Error::Peer(error.to_string()))
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), Error> {
        let bytes = postcard::to_stdvec(&frame).map_err(|e| Error::Peer(e.to_string()))?;
        self.0.encode(Bytes::from(bytes), out)?;
        Ok(())
    }
}
