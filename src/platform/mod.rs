//! Adapter to the users' platform: names, formats and calls. Nothing here decides anything, and
//! nothing outside knows the platform's names.

mod config;
mod http;
mod notice;
#[cfg(feature = "standin")]
pub(crate) mod sample;
mod store;
pub(crate) mod wire;

pub use http::Dialect;
pub use store::Store;

#[cfg(all(test, feature = "standin"))]
mod tests;
