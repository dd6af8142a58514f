//! Metrics and logging: counters through `cadence`, latency histograms through `hdrhistogram`,
//! bytes by region, and the structured log. The admin listener shows the metrics.

mod counters;
mod histograms;
mod limits;
pub mod logger;
mod traffic;

pub(crate) use counters::Counters;
pub(crate) use histograms::Histograms;
pub use histograms::Quantiles;
pub(crate) use limits::Limits;
pub(crate) use traffic::{CountedStream, Traffic};
