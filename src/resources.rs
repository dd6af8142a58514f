//! Memory and descriptors that a process may use, and how its listeners share them.

use crate::http::CLOSING_MARGIN;
use crate::ini::Reader;

/// Tenths of the memory that may be held for others: 77 MB of 110 MB, which is room for a body of
/// 64 MiB besides the part for small messages.
const HELD_TENTHS: u64 = 7;
/// Memory of a node without the setting; so much that no limit by memory is reached as before there
/// was one.
const DEFAULT_MEMORY_MB: u64 = 4_096;
/// Descriptors of a node without the setting.
const DEFAULT_MAX_FDS: u64 = 65_536;
/// Bytes held for messages for each connection of a caller. The state of a connection takes up to a sixth of
/// that, which is not reserved.
const BYTES_PER_CONNECTION: usize = 150_000;
/// Most connections at a listener for operators or for the target's heartbeats. Their buffers are not
/// reserved.
const MAX_SERVICE_CONNECTIONS: usize = 32;

/// Memory and descriptors of the VM that the node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub max_fds: u64,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            max_fds: DEFAULT_MAX_FDS,
        }
    }
}

impl Resources {
    /// Reads the keys `memory_mb` and `max_fds` of a section.
    pub(crate) fn read(reader: &mut Reader) -> Self {
        Self {
            memory_mb: reader.number("memory_mb", 16..=1_048_576, DEFAULT_MEMORY_MB),
            max_fds: reader.number("max_fds", 128..=1_048_576, DEFAULT_MAX_FDS),
        }
    }

    /// Bytes that the node may hold for others; the rest is for the program itself and for what is
    /// lost between blocks of memory.
    pub(crate) fn held_bytes(&self) -> usize {
        let bytes = self.memory_mb * 1_000_000 / 10 * HELD_TENTHS;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Connections that callers may have open, besides those that close for others.
    pub(crate) fn caller_connections(&self) -> usize {
        let open = self.share_of_descriptors(2).min(self.memory_share());
        open.saturating_sub(CLOSING_MARGIN)
    }

    /// Connections to the target that may be open.
    pub(crate) fn target_connections(&self) -> usize {
        self.share_of_descriptors(4).min(self.memory_share() / 2)
    }

    /// Connections for whose state there is memory besides that for messages.
    fn memory_share(&self) -> usize {
        self.held_bytes() / BYTES_PER_CONNECTION
    }

    /// Connections that may be open at the admin, the metrics and the heartbeat listener each. What is
    /// left is for links, the store and the process itself.
    pub(crate) fn service_connections(&self) -> usize {
        self.share_of_descriptors(32).min(MAX_SERVICE_CONNECTIONS)
    }

    /// Connections with buffers of so many bytes that may be open at each of the two listeners for requests:
    /// those of callers and those of other nodes. A caller's request needs two or three descriptors more,
    /// to pass it on and to inquire about it.
    pub(crate) fn buffered_connections(&self, buffer_bytes: usize) -> usize {
        let by_memory = self.held_bytes() / 8 / buffer_bytes;
        self.share_of_descriptors(6).min(by_memory)
    }

    /// Connections that may be open at the control listener, and inquiries that may run at a time.
    pub(crate) fn control_connections(&self) -> usize {
        self.share_of_descriptors(16)
    }

    /// Connections that may be open at the listener for links before their peers say which nodes they are.
    pub(crate) fn unknown_peers(&self) -> usize {
        self.share_of_descriptors(16)
    }

    fn share_of_descriptors(&self, divisor: u64) -> usize {
        usize::try_from(self.max_fds / divisor).unwrap_or(usize::MAX)
    }
}
