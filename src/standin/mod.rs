//! Stand-ins for the platform, targets and callers, used by tests, `bluebellgap demo`,
//! `bluebellgap bench`, `bluebellgap soak` and `bluebellgap standin`.
//!
//! There are two stand-ins for the platform: [`MemoryPlatform`] holds the table and the objects
//! that a [`Node`](crate::node::Node) uses; [`StoreServer`] serves the rows and change feeds that a
//! sidecar node ([`crate::sidecar`]) uses.

mod caller;
pub mod costs;
mod mesh;
pub mod pattern;
mod platform;
mod store;
mod target;

pub use caller::{Answer, Caller};
pub use mesh::{Layout, Mesh, Region, sample_bundle};
pub use platform::{Fault, MemoryPlatform, PlatformServer};
pub use store::{StoreCopy, StoreFault, StoreServer};
pub use target::{Target, TargetOptions};
