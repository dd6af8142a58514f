//! The platform's metadata store: rows, transactions and feeds in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{self, Json, base64, quote};

type Key = (String, String);

#[derive(Default)]
struct State {
    /// Values in base64, with their versions.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order; no value for a deleted row.
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    silent: AtomicBool,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            silent: AtomicBool::new(false),
        })
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(
            address,
            Arc::new(move |request| store.answer_unless_silent(&request)),
        )
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.write((table.into(), key.into()), Some(base64(value.as_bytes())));
        drop(state);
        self.changed.notify_all();
    }

    /// Sets whether calls get no answer. Those made meanwhile do nothing, and their connections deliver
    /// nothing further.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
        self.changed.notify_all();
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Answers a call; `None` if it gets no answer.
    fn answer_unless_silent(&self, request: &Request) -> Option<Response> {
        let answer = (!self.is_silent()).then(|| self.answer(request));
        let lost = answer.is_none() || self.is_silent();
        while self.is_silent() {
            std::thread::sleep(Duration::from_millis(20));
        }
        answer.filter(|_| !lost)
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path()) {
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            ("POST", "/rows-tx") => self.transact(request),
            _ => Response::new(404, ""),
        }
    }

    fn render(&self, status: u16, version: u64, rows: &[String], more: bool) -> Response {
        let now = self.started.elapsed().as_secs_f64();
        let body = format!(
            "{{\"Rows\":[{}],\"HasMore\":{more},\"Ver\":{version},\"NowS\":{now:.3}}}",
            rows.join(",")
        );
        Response::new(status, body).with("content-type", "application/json")
    }

    fn get(&self, request: &Request) -> Response {
        let (table, from, to) = (
            request.query("Table"),
            request.query("From"),
            request.query("Target"),
        );
        let limit = request.query("Limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let rows = state
            .rows
            .iter()
            .filter(|((t, k), _)| *t == table && *k >= from && (to.is_empty() || *k < to));
        let mut rows: Vec<String> = rows
            .map(|(key, (value, ver))| row(key, Some(value), *ver))
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        self.render(200, state.version, &rows, more)
    }

    fn feed(&self, request: &Request) -> Response {
        let (table, after) = (
            request.query("Table"),
            request.query("after").parse().unwrap_or(0),
        );
        let wait = Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|(ver, (t, _), _)| *ver > after && *t == table)
                .map(|(ver, key, value)| row(key, value.as_ref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.render(200, state.version, &rows, false);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> Response {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Response::new(400, "");
        };
        let entries = |name: &str| call.get(name).map_or(&[][..], Json::list).to_vec();
        let key = |entry: &Json| {
            let text = |name| {
                entry
                    .get(name)
                    .and_then(Json::text)
                    .unwrap_or_default()
                    .to_owned()
            };
            (text("Table"), text("Key"))
        };
        let mut state = self.state.lock().unwrap();
        let expected = entries("Expect");
        let holds = expected.iter().all(|entry| {
            let ver = entry.get("Ver").and_then(Json::number).unwrap_or(0);
            state.rows.get(&key(entry)).map_or(0, |(_, v)| *v) == ver
        });
        if !holds {
            let current = expected.iter().filter_map(|entry| {
                let key = key(entry);
                let (value, ver) = state.rows.get(&key)?;
                Some(row(&key, Some(value), *ver))
            });
            let current: Vec<String> = current.collect();
            return self.render(412, state.version, &current, false);
        }
        let (puts, deletes) = (entries("Puts"), entries("Deletes"));
        let reserved = |entry: &&Json| ["op", "servers"].contains(&key(entry).0.as_str());
        if puts.iter().chain(&deletes).any(|entry| reserved(&entry)) {
            return Response::new(403, "");
        }
        state.version += 1;
        for put in puts {
            let value = put.get("Value").and_then(Json::text).unwrap_or_default();
            state.write(key(&put), Some(value.to_owned()));
        }
        for delete in deletes {
            state.write(key(&delete), None);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        self.render(200, version, &[], false)
    }
}

impl State {
    fn write(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.history.push((version, key, value));
    }
}

fn row(key: &Key, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!("\"Value\":{}", json::quote(value)),
        None => "\"Deleted\":true".to_owned(),
    };
    format!(
        "{{\"Table\":{},\"part\":\"\",\"Key\":{},{value},\"Ver\":{ver}}}",
        quote(&key.0),
        quote(&key.1)
    )
}
