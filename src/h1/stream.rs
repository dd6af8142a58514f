//! Reads messages from, and writes them to, one connection.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use hyper::Method;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::h1::head::{Framing, Request, Response, parse_request, parse_response};
use crate::memory::{
    self, Account, Denied, MIN_RESERVED_COST, Pool, Reservation, head_cost, make_space,
};

/// Bytes that are read at once within a message.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that are read at once into a body.
const READ_BODY_BYTES: usize = 64 * 1024;
/// Buffer of a connection that waits for a message. Small, because many connections may wait.
const IDLE_BUFFER_BYTES: usize = 2 * 1024;
/// Longest line with the size of a chunk and its extensions, and longest trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Bytes of all trailers of a message, which are read and dropped.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Most interim (1xx) responses before the final one. Servers send one or two.
const MAX_INTERIM_RESPONSES: usize = 32;
/// Largest body that is copied behind its head before both are written.
const COPIED_BODY_BYTES: usize = 16 * 1024;

/// Why a message could not be read.
#[derive(Debug, derive_more::Display)]
pub(crate) enum Fault {
    /// The peer closed the connection between two messages.
    #[display("closed")]
    Closed,
    /// The connection ended or broke inside a message.
    #[display("cut off: {_0}")]
    CutOff(String),
    /// The bytes are not a valid HTTP/1.1 message.
    #[display("malformed: {_0}")]
    Malformed(String),
    /// The head is larger than allowed.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[display("body too large")]
    BodyTooLarge,
    /// Too little memory is left for the message.
    #[display("too little memory")]
    NoMemory,
    /// The sender made no progress while others needed the memory that the message holds.
    #[display("no progress")]
    Stalled,
}

impl From<Denied> for Fault {
    fn from(_: Denied) -> Self {
        Self::NoMemory
    }
}

/// A connection, or one direction of it, with a buffer for reading messages.
pub(crate) struct Stream<R> {
    inner: R,
    buffer: BytesMut,
    /// Memory that messages are read into; not accounted for if absent.
    pool: Option<Arc<Pool>>,
    /// Memory of the message that is being read and of the bytes received after it.
    account: Option<Account>,
    /// Memory of the message that is being read, besides its body.
    message_cost: usize,
}

impl<R> Stream<R> {
    pub(crate) fn new(inner: R) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
            pool: None,
            account: None,
            message_cost: 0,
        }
    }

    /// Reads only messages that fit into the pool's memory together with those of others.
    pub(crate) fn with_pool(inner: R, pool: Arc<Pool>) -> Self {
        Self {
            pool: Some(pool),
            ..Self::new(inner)
        }
    }

    /// Whether bytes were received that are not part of a message that was read.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    pub(crate) fn get_ref(&self) -> &R {
        &self.inner
    }

    /// Ends the message that was read: returns the memory reserved for its head, and keeps that of the
    /// bytes received after it.
    pub(crate) fn finish_message(&mut self) -> Option<Reservation> {
        let account = self.account.as_mut()?;
        let head = account.split(self.message_cost);
        if self.buffer.is_empty() {
            self.account = None;
            self.buffer = BytesMut::new();
        } else {
            account.shrink_to(self.buffer.len() + READ_BYTES);
            account.set_evictable(false);
        }
        Some(head)
    }

    /// Drops what was received and returns its memory.
    pub(crate) fn clear(&mut self) {
        self.buffer = BytesMut::new();
        self.account = None;
    }

    /// Begins to account for a message.
    fn open_account(&mut self) {
        match (&mut self.account, &self.pool) {
            (Some(account), _) => account.set_evictable(true),
            (None, Some(pool)) => self.account = Some(pool.open()),
            (None, None) => {}
        }
    }

    /// Keeps the memory of the message from being given to others, or ends that.
    fn protect(&mut self, protected: bool) {
        if let Some(account) = &mut self.account {
            account.set_evictable(!protected);
        }
    }

    /// Reserves memory for a body of `body` bytes and what surrounds it.
    async fn hold(&mut self, body: usize) -> Result<(), Fault> {
        if let Some(account) = &mut self.account {
            let buffered = self.buffer.len() + READ_BYTES;
            account.hold(self.message_cost + buffered + body).await?;
        }
        Ok(())
    }
}

impl<W: AsyncWrite + Unpin> Stream<W> {
    /// Writes a whole request. A large body is written from where it is, not copied.
    pub(crate) async fn write_request(&mut self, request: &Request) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        request.write_head(&mut out);
        write_message(&mut self.inner, out, &request.body).await
    }
}

/// Writes a head and a body: small bodies together with the head, in one packet.
async fn write_message(
    writer: &mut (impl AsyncWrite + Unpin),
    mut head: BytesMut,
    body: &[u8],
) -> std::io::Result<()> {
    if body.len() > COPIED_BODY_BYTES {
        writer.write_all(&head).await?;
        return writer.write_all(body).await;
    }
    head.extend_from_slice(body);
    writer.write_all(&head).await
}

impl<R: AsyncRead + Unpin> Stream<R> {
    /// Waits for the first byte of the next message.
    pub(crate) async fn wait_for_bytes(&mut self) -> Result<(), Fault> {
        while self.buffer.is_empty() {
            if self.fill().await? == 0 {
                return Err(Fault::Closed);
            }
        }
        Ok(())
    }

    /// Discards the buffered bytes and receives more; returns how many, 0 once the connection is
    /// closed or broken.
    pub(crate) async fn discard(&mut self) -> usize {
        self.account = None;
        self.buffer.clear();
        self.buffer.reserve(READ_BYTES);
        let read = self.inner.read_buf(&mut self.buffer).await;
        read.unwrap_or_default()
    }

    /// Reads a request head of at most `limit` bytes. A connection that closes before the first
    /// byte counts as cut off too; [`Self::wait_for_bytes`] reports that case as [`Fault::Closed`].
    pub(crate) async fn read_request_head(
        &mut self,
        limit: usize,
    ) -> Result<(Request, Framing), Fault> {
        self.open_account();
        let mut parsed = 0;
        loop {
            self.message_cost = head_cost(self.buffer.len().min(limit));
            self.hold(0).await?;
            if may_end_head(&self.buffer, parsed)
                && let Some((request, length, framing)) = parse_request(&self.buffer)?
            {
                if length > limit {
                    return Err(Fault::HeadTooLarge);
                }
                self.buffer.advance(length);
                self.message_cost = head_cost(length);
                return Ok((request, framing));
            }
            parsed = self.buffer.len();
            if self.buffer.len() > limit {
                return Err(Fault::HeadTooLarge);
            }
            self.fill_or_cut_off().await?;
        }
    }

    /// Reads a whole response to a request with `method`; skips up to [`MAX_INTERIM_RESPONSES`] interim
    /// (1xx) responses.
    pub(crate) async fn read_response(
        &mut self,
        method: &Method,
        body_limit: usize,
    ) -> Result<Response, Fault> {
        let mut interim_responses = 0;
        let mut parsed = 0;
        self.open_account();
        if self.buffer.is_empty() {
            // The peer works on the request. It has not stalled, however long that takes.
            self.protect(true);
        }
        loop {
            self.message_cost = head_cost(self.buffer.len().min(MAX_RESPONSE_HEAD_BYTES));
            self.hold(0).await?;
            let complete = if may_end_head(&self.buffer, parsed) {
                parse_response(&self.buffer, method)?
            } else {
                None
            };
            let Some((mut response, length, framing)) = complete else {
                parsed = self.buffer.len();
                if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                    return Err(Fault::HeadTooLarge);
                }
                let is_first = self.buffer.is_empty();
                self.fill_or_cut_off().await?;
                if is_first {
                    self.protect(false);
                }
                continue;
            };
            self.buffer.advance(length);
            parsed = 0;
            if response.status.is_informational() {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(Fault::Malformed("too many interim responses".into()));
                }
                continue;
            }
            response.body = self.read_body(framing, body_limit).await?;
            let head = self.finish_message();
            if let Some(head) = head.filter(|head| head.bytes() >= MIN_RESERVED_COST) {
                response.body = memory::hold(response.body, head);
            }
            return Ok(response);
        }
    }

    /// Reads a whole body of at most `limit` bytes. Its memory stays reserved until its last
    /// reference is dropped.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        limit: usize,
    ) -> Result<Bytes, Fault> {
        let mut body = Vec::new();
        match framing {
            Framing::Empty => {}
            Framing::Length(length) if length > limit => return Err(Fault::BodyTooLarge),
            Framing::Length(length) => self.read_bytes(&mut body, length, length).await?,
            Framing::Chunked => self.read_chunks(&mut body, limit).await?,
            Framing::UntilClose => self.read_to_close(&mut body, limit).await?,
        }
        if body.is_empty() {
            return Ok(Bytes::new());
        }
        let Some(account) = &mut self.account else {
            return Ok(body.into());
        };
        // Chunks may have left room for more.
        body.shrink_to_fit();
        let reservation = account.split(body.len());
        Ok(memory::hold(body, reservation))
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>, limit: usize) -> Result<(), Fault> {
        loop {
            let size = self.read_chunk_size().await?;
            if size > limit - body.len() {
                return Err(Fault::BodyTooLarge);
            }
            if size == 0 {
                return self.skip_trailers().await;
            }
            let room = limit - body.len();
            self.read_bytes(body, size, room).await?;
            while self.buffer.len() < 2 {
                self.fill_or_cut_off().await?;
            }
            if !self.buffer.starts_with(b"\r\n") {
                return Err(Fault::Malformed("chunk without end".into()));
            }
            self.buffer.advance(2);
        }
    }

    async fn read_chunk_size(&mut self) -> Result<usize, Fault> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.buffer.advance(length);
                    let size = usize::try_from(size);
                    return size.map_err(|_| Fault::BodyTooLarge);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() < MAX_CHUNK_LINE_BYTES => {
                    self.fill_or_cut_off().await?;
                }
                _ => return Err(Fault::Malformed("chunk size".into())),
            }
        }
    }

    async fn skip_trailers(&mut self) -> Result<(), Fault> {
        let mut skipped = 0;
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                self.buffer.advance(end + 2);
                if end == 0 {
                    return Ok(());
                }
                skipped += end + 2;
                if skipped > MAX_TRAILER_BYTES {
                    return Err(Fault::Malformed("trailers".into()));
                }
                continue;
            }
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(Fault::Malformed("trailers".into()));
            }
            self.fill_or_cut_off().await?;
        }
    }

    async fn read_to_close(&mut self, body: &mut Vec<u8>, limit: usize) -> Result<(), Fault> {
        loop {
            let room = limit + 1 - body.len();
            if self.read_some(body, room, room).await? == 0 {
                return Ok(());
            }
            if body.len() > limit {
                return Err(Fault::BodyTooLarge);
            }
        }
    }

    /// Appends exactly `count` bytes to the body, of `room` that may follow.
    async fn read_bytes(
        &mut self,
        body: &mut Vec<u8>,
        count: usize,
        room: usize,
    ) -> Result<(), Fault> {
        let mut left = count;
        while left > 0 {
            match self.read_some(body, left, room).await? {
                0 => return Err(Fault::CutOff("connection ended".into())),
                read => left -= read,
            }
        }
        Ok(())
    }

    /// Appends up to `left` bytes to the body, first those in the buffer; returns how many, 0 once the
    /// connection is closed. Memory is reserved as bytes arrive, not for an announced length. Up to
    /// `room` bytes of the body may follow.
    async fn read_some(
        &mut self,
        body: &mut Vec<u8>,
        left: usize,
        room: usize,
    ) -> Result<usize, Fault> {
        let buffered = left.min(self.buffer.len());
        if buffered > 0 {
            self.hold(body.len() + buffered).await?;
            make_space(body, buffered, room);
            body.extend_from_slice(&self.buffer[..buffered]);
            self.buffer.advance(buffered);
            return Ok(buffered);
        }
        let step = left.min(READ_BODY_BYTES);
        self.hold(body.len() + step).await?;
        make_space(body, step, room);
        let mut limited = (&mut self.inner).take(step as u64);
        let read = unless_evicted(self.account.as_ref(), limited.read_buf(body)).await?;
        if let Some(account) = &mut self.account {
            account.record_progress(read);
        }
        Ok(read)
    }

    /// Receives more bytes of a message that is not complete.
    async fn fill_or_cut_off(&mut self) -> Result<(), Fault> {
        match self.fill().await? {
            0 => Err(Fault::CutOff("connection ended".into())),
            _ => Ok(()),
        }
    }

    /// Receives more bytes into the buffer; returns how many, 0 once the connection is closed.
    async fn fill(&mut self) -> Result<usize, Fault> {
        if self.account.is_none() && self.buffer.is_empty() {
            self.buffer = BytesMut::with_capacity(IDLE_BUFFER_BYTES);
        } else {
            self.buffer.reserve(READ_BYTES);
        }
        let read = self.inner.read_buf(&mut self.buffer);
        let read = unless_evicted(self.account.as_ref(), read).await?;
        if let Some(account) = &mut self.account {
            account.record_progress(read);
        }
        Ok(read)
    }
}

/// Whether a head can be complete, or is known to be invalid, now that more of it has arrived after its
/// first `parsed` bytes: a line has ended. Otherwise, a head that arrives in single bytes would be parsed
/// with each of them.
pub(super) fn may_end_head(buffer: &[u8], parsed: usize) -> bool {
    parsed == 0 || buffer[parsed..].contains(&b'\n')
}

/// Receives bytes, unless the account loses its place first.
async fn unless_evicted(
    account: Option<&Account>,
    read: impl Future<Output = std::io::Result<usize>>,
) -> Result<usize, Fault> {
    let read = match account {
        None => read.await,
        Some(account) => tokio::select! {
            biased;
            () = account.evicted() => return Err(Fault::Stalled),
            read = read => read,
        },
    };
    read.map_err(|error| Fault::CutOff(error.to_string()))
}
