//! Where a node would send a request now, and why: the question and the answer of
//! `bluebellgap explain`.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::http::{Pool, full};

/// Path on the admin listener.
pub(crate) const PATH: &str = "/explain";
/// Largest question and answer in bytes.
pub(crate) const MAX_BYTES: usize = 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(5);

/// A request that is not sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// Method.
    pub method: String,
    /// Value of the header `host`.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Further headers.
    #[serde(default)]
    pub headers: Vec<(String, String)>,
}

/// What the node would do with the request. Contains no header of the question.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the configuration in force.
    pub version: u64,
    /// Route that matches.
    pub route: Option<String>,
    /// Service that the request goes to.
    pub service: Option<String>,
    /// Tenant whose key the request carries.
    pub tenant: Option<String>,
    /// Limit on the tenant's requests per second, and its burst.
    pub quota: Option<(f64, f64)>,
    /// Rank; 0 goes first.
    pub rank: Option<u32>,
    /// Whether targets are compared by expected costs instead of by numbers of requests.
    pub by_cost: bool,
    /// Expected run time, or latency if targets are compared by numbers, in milliseconds.
    pub expected_ms: Option<u64>,
    /// Targets of the service, the cheapest first.
    pub candidates: Vec<Candidate>,
    /// Where the request would go, or why it would be refused.
    pub decision: String,
}

/// A target of the service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Node beside the target.
    pub node: String,
    /// Data centre of the node.
    pub data_center: String,
    /// Expected time until the target answers, with penalties for distance and failures, in
    /// milliseconds; `None` if the target cannot be chosen.
    pub cost_ms: Option<u64>,
    /// Running and queued requests and slots that were reported last.
    pub load: (u32, u32, u32),
    /// Age of that report in milliseconds; `None` if there is none.
    pub report_age_ms: Option<u64>,
    /// Why it is chosen or passed over.
    pub reason: String,
}

impl std::fmt::Display for Explanation {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        writeln!(out, "version   {}", self.version)?;
        writeln!(out, "route     {}", text(&self.route))?;
        writeln!(out, "service   {}", text(&self.service))?;
        writeln!(out, "tenant    {}", text(&self.tenant))?;
        if let Some((per_s, burst)) = self.quota {
            writeln!(out, "quota     {per_s}/s, burst {burst}")?;
        }
        if let (Some(rank), Some(expected_ms)) = (self.rank, self.expected_ms) {
            let rule = if self.by_cost { "cost" } else { "count" };
            writeln!(out, "rank      {rank}")?;
            writeln!(out, "expected  {expected_ms} ms, placed by {rule}")?;
        }
        for candidate in &self.candidates {
            let or_dash = |value: Option<u64>| value.map_or("-".to_owned(), |ms| ms.to_string());
            let (running, queued, slots) = candidate.load;
            writeln!(
                out,
                "  {:<20} {:<12} cost {:>6} ms  {running}+{queued} of {slots}  report {:>6} ms  {}",
                candidate.node,
                candidate.data_center,
                or_dash(candidate.cost_ms),
                or_dash(candidate.report_age_ms),
                candidate.reason,
            )?;
        }
        writeln!(out, "decision  {}", self.decision)
    }
}

/// Asks the node with this admin listener.
///
/// ```no_run
/// # async fn example() -> bluebellgap::Result<()> {
/// use bluebellgap::explain::{Question, ask};
/// let question = Question {
///     method: "GET".into(),
///     host: "shop.example".into(),
///     path: "/items/7".into(),
///     headers: Vec::new(),
/// };
/// println!("{}", ask("127.0.0.1:7102".parse().unwrap(), &question).await?);
/// # Ok(())
/// # }
/// ```
///
/// # Errors
/// [`Error::Peer`] if the node cannot be queried or rejects the question.
pub async fn ask(node: SocketAddr, question: &Question) -> Result<Explanation> {
    let failed = |cause: String| Error::Peer(format!("cannot query the node at {node}: {cause}"));
    let body = serde_json::to_vec(question).map_err(|error| failed(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", node.to_string())
        .body(full(body))
        .map_err(|error| failed(error.to_string()))?;
    let answer = Pool::new(node).exchange(request, TIMEOUT, MAX_BYTES).await;
    let answer = answer.map_err(failed)?;
    let (status, bytes) = (answer.status(), answer.into_body());
    if status != StatusCode::OK {
        let text = String::from_utf8_lossy(&bytes);
        return Err(failed(format!("status {status}: {text}")));
    }
    serde_json::from_slice(&bytes).map_err(|error| failed(error.to_string()))
}
