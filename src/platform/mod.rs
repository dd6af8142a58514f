//! Adapter to the platform of the sidecar nodes: its names, message formats and HTTP calls.
//!
//! The adapter only translates and makes no decisions. Outside this module, the platform's names
//! occur only in stand-ins and tests.

mod config;
mod dialect;
mod notice;
mod order;
#[cfg(feature = "standin")]
pub(crate) mod sample;
mod store;
pub(crate) mod wire;

pub use dialect::Dialect;
pub use store::Store;

#[cfg(all(test, feature = "standin"))]
mod tests;
