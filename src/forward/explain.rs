//! Explains where a request would go, by the code that places requests, without sending it.

use std::time::{Duration, Instant};

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use crate::directory::Endpoint;
use crate::explain::{Candidate, Explanation, Question};
use crate::forward::Forwarder;
use crate::forward::call::Call;
use crate::forward::forwarder::Progress;
use crate::h1::Request;
use crate::link::Entry;
use crate::overload::placement::Choice;
use crate::roster::Presence;

impl Forwarder {
    /// Explains what would be done with a request now; `None` if the question is no valid request.
    /// Nothing is sent, and nothing learned; only the route's traffic split advances.
    pub(crate) fn explain(&self, question: &Question) -> Option<Explanation> {
        let mut request = request(question)?;
        let mut explanation = Explanation {
            by_cost: self.costs.is_some(),
            ..Explanation::default()
        };
        self.explain_match(&mut explanation, &request);
        let request_id = self.dialect.request_id(&request.headers);
        let request_id = request_id.unwrap_or_default().to_owned();
        match self.prepare(&mut request, &request_id, false) {
            Ok((call, _)) => self.explain_placement(&mut explanation, &call),
            Err(refusal) => {
                explanation.decision = format!("{}: {refusal}", refusal.status().as_u16());
            }
        }
        Some(explanation)
    }

    /// Explains which route matches and which tenant asks.
    fn explain_match(&self, explanation: &mut Explanation, request: &Request) {
        let Some(config) = self.config.load_full() else {
            return;
        };
        explanation.version = config.version.0;
        let path = request.target.split('?').next().unwrap_or_default();
        let host = request.headers.get("host").and_then(|h| h.to_str().ok());
        let host = host.unwrap_or_default();
        let route = config.table.find(host, request.method.as_str(), path);
        explanation.route = route.map(|route| route.name.clone());
        let key = self.dialect.credential(&request.headers);
        if let Some(tenant) = key.and_then(|key| config.tenants.find(key)) {
            explanation.tenant = Some(tenant.name.clone());
            explanation.quota = tenant.quota.map(|quota| (quota.per_s, quota.burst));
        }
    }

    /// Explains to which target a call would be offered.
    fn explain_placement(&self, explanation: &mut Explanation, call: &Call) {
        explanation.service = Some(call.service.clone());
        explanation.rank = Some(call.rank());
        explanation.expected_ms = Some(millis(call.expected_latency));
        let (ranked, choice) = self.place(call, &Progress::default());
        let now = Instant::now();
        for (index, endpoint) in ranked.iter().enumerate() {
            let reason = choice.as_ref().map(|choice| reason(index, choice));
            explanation.candidates.push(Candidate {
                cost_ms: Some(millis(endpoint.cost(&call.demand(), now))),
                ..candidate(endpoint, reason.unwrap_or_default())
            });
        }
        let is_ranked = |node: &str| ranked.iter().any(|ranked| ranked.entry.node == node);
        for entry in self.directory.entries() {
            let service = entry.target.as_ref().map(|target| target.service.as_str());
            if service == Some(call.service.as_str()) && !is_ranked(&entry.node) {
                explanation.candidates.push(unavailable(&entry));
            }
        }
        explanation.decision = match choice {
            Some(choice) => format!(
                "offered to {}, to wait at most {} ms for a slot{}",
                ranked[choice.index].entry.node,
                millis(call.longest_wait(&choice)),
                if choice.last {
                    "; refused if it is full"
                } else {
                    ""
                },
            ),
            None => "no target available".to_owned(),
        };
    }
}

/// Why a candidate is chosen or passed over. The candidates before the chosen one were not worth a
/// try.
fn reason(index: usize, choice: &Choice) -> &'static str {
    match index.cmp(&choice.index) {
        std::cmp::Ordering::Less => "full, or too far to be worth a try",
        std::cmp::Ordering::Equal => "chosen",
        std::cmp::Ordering::Greater => "after the chosen one in the order by cost",
    }
}

fn candidate(endpoint: &Endpoint, reason: &str) -> Candidate {
    let (load, age) = endpoint.load();
    Candidate {
        node: endpoint.entry.node.clone(),
        data_center: endpoint.entry.data_center.clone(),
        cost_ms: None,
        load: (load.running, load.queued, load.slots),
        report_age_ms: age.map(millis),
        reason: reason.to_owned(),
    }
}

/// A target that cannot be chosen.
fn unavailable(entry: &Entry) -> Candidate {
    Candidate {
        node: entry.node.clone(),
        data_center: entry.data_center.clone(),
        reason: if entry.presence == Presence::Serving {
            "node unreachable".to_owned()
        } else {
            format!("target is {}", entry.presence)
        },
        ..Candidate::default()
    }
}

/// The request of a question; `None` if it is invalid.
fn request(question: &Question) -> Option<Request> {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_str(&question.host).ok()?);
    for (name, value) in &question.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    Some(Request {
        method: question.method.parse().ok()?,
        target: question.path.clone(),
        headers,
        body: bytes::Bytes::new(),
        keep_alive: false,
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
