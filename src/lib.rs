//! bluebellgap distributes signed configuration bundles to the proxies of a service mesh, and
//! routes calls to healthy targets while versions change.
//!
//! A node is the process beside a target, and comes in two kinds. [`Node`]s distribute signed
//! bundles among themselves; operators roll the bundles out with [`rollout::Operator`], through the
//! platform's table service and object store ([`store::Platform`]). A [`Sidecar`] takes part in no
//! rollout: it gets each version from a row of its own platform's store ([`platform::Store`]), or
//! from another sidecar.

pub mod allocator;
#[cfg(feature = "standin")]
pub mod bench;
pub mod bundle;
pub mod error;
pub mod explain;
pub mod ini;
pub mod node;
pub mod platform;
pub mod rollout;
pub mod roster;
pub mod settings;
pub mod sidecar;
#[cfg(feature = "standin")]
pub mod soak;
#[cfg(feature = "standin")]
pub mod standin;
pub mod store;
pub mod telemetry;
pub mod verdict;

mod admission;
mod canary;
mod claim;
mod dialect;
mod directory;
mod forward;
mod h1;
mod http;
mod ingress;
mod link;
mod memory;
mod overload;
mod peers;
mod proxy;
mod quota;
mod resources;
mod route;
mod status;
mod target;
mod tenant;
#[cfg(test)]
mod testing;
mod version;
mod wire;

pub use error::{Error, Result};
pub use node::Node;
pub use settings::Settings;
pub use sidecar::Sidecar;
