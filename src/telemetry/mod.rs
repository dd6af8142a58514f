//! Counters by `cadence`, histograms by `hdrhistogram`, and what the admin listener shows of them.

mod counters;
mod histograms;
pub mod logger;
mod traffic;

pub(crate) use counters::Counters;
pub(crate) use histograms::Histograms;
pub use histograms::Quantiles;
pub(crate) use traffic::{CountedStream, Traffic};
