//! Stand-ins for the platform, targets and callers, used by tests, `bluebellgap demo`,
//! `bluebellgap bench` and `bluebellgap standin`.

mod caller;
mod mesh;
mod platform;
mod store;
mod target;

pub use caller::{Answer, Caller};
pub use mesh::{Layout, Mesh, Region, sample_bundle};
pub use platform::{Fault, MemoryPlatform, PlatformServer};
pub use store::{StoreFault, StoreServer};
pub use target::{Target, TargetOptions};
