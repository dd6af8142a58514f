//! Stand-in for the platform's metadata store: rows, conditional transactions and the feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json;
use crate::node::address;

/// Time of a response (`4 ms an answer` on the sheets).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows in a response.
const PAGE_ROWS: usize = 500;

/// Table, part and key.
type FullKey = (String, String, String);

#[derive(Clone)]
struct ChangedRow {
    key: FullKey,
    /// `None` if the row was deleted.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<FullKey, (String, u64)>,
    history: Vec<ChangedRow>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind(address(250, 8309)).expect("the store's port");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound listener"),
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        let response = shared.respond(&request);
                        if connection.write(&response).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, config: &str) {
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        self.apply(&[(key, Some(base64(config.as_bytes())))]);
    }

    fn apply(&self, writes: &[(FullKey, Option<String>)]) -> u64 {
        let mut state = self.state.lock().expect("no panic under the lock");
        state.ver += 1;
        let ver = state.ver;
        for (key, value) in writes {
            let existed = match value {
                Some(value) => {
                    state.rows.insert(key.clone(), (value.clone(), ver));
                    true
                }
                None => state.rows.remove(key).is_some(),
            };
            if existed {
                state.history.push(ChangedRow {
                    key: key.clone(),
                    value: value.clone(),
                    ver,
                });
            }
        }
        drop(state);
        self.changed.notify_all();
        ver
    }

    fn respond(&self, request: &Message) -> Message {
        thread::sleep(ANSWER_TIME);
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (status, body) = match path {
            "/rows-get" => (200, self.get(&parameter)),
            "/rows-feed" => (200, self.feed(&parameter)),
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        };
        Message {
            first_line: format!("HTTP/1.1 {status} Status"),
            headers: vec![("content-type".into(), "application/json".into())],
            body: body.into_bytes(),
        }
    }

    fn get(&self, parameter: &dyn Fn(&str) -> String) -> String {
        let (table, part) = (parameter("Table"), parameter("part"));
        let (from, target) = (parameter("From"), parameter("Target"));
        let limit = parameter("Limit").parse().unwrap_or(PAGE_ROWS);
        let limit = limit.min(PAGE_ROWS);
        let state = self.state.lock().expect("no panic under the lock");
        let in_range = |key: &FullKey| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && (target.is_empty() || key.2 < target)
        };
        let mut rows: Vec<String> = state
            .rows
            .iter()
            .filter(|(key, _)| in_range(key))
            .take(limit + 1)
            .map(|(key, (value, ver))| row(key, Some(value), *ver))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        self.answer(&rows, has_more, state.ver)
    }

    fn feed(&self, parameter: &dyn Fn(&str) -> String) -> String {
        let table = parameter("Table");
        let after: u64 = parameter("after").parse().unwrap_or(0);
        let wait = parameter("WaitMs").parse().unwrap_or(0).min(30_000);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().expect("no panic under the lock");
        loop {
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.ver > after && change.key.0 == table)
                .map(|change| row(&change.key, change.value.as_ref(), change.ver))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.answer(&rows, false, state.ver);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no panic under the lock").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(transaction) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let full_key = |row: &json::Value| {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("Table"), field("part"), field("Key"))
        };
        let known_version = |key: &FullKey| {
            let state = self.state.lock().expect("no panic under the lock");
            state.rows.get(key).map_or(0, |(_, ver)| *ver)
        };
        let conditions = transaction.get("Expect").list();
        if conditions
            .iter()
            .any(|row| known_version(&full_key(row)) != row.get("Ver").number())
        {
            return (412, "{\"Rows\":[],\"Ver\":1}".to_owned());
        }
        let puts = transaction.get("Puts").list().iter();
        let puts = puts.map(|row| (full_key(row), Some(row.get("Value").text().to_owned())));
        let deletes = transaction.get("Deletes").list().iter();
        let deletes = deletes.map(|row| (full_key(row), None));
        let writes: Vec<_> = puts.chain(deletes).collect();
        let ver = self.apply(&writes);
        (200, self.answer(&[], false, ver))
    }

    fn answer(&self, rows: &[String], has_more: bool, ver: u64) -> String {
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{has_more},\"Ver\":{ver},\"NowS\":{:.3}}}",
            rows.join(","),
            self.started.elapsed().as_secs_f64()
        )
    }
}

fn row(key: &FullKey, value: Option<&String>, ver: u64) -> String {
    let last = value.map_or("\"Deleted\":true".to_owned(), |value| {
        format!("\"Value\":{}", json::quote(value))
    });
    format!(
        "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{ver},{last}}}",
        json::quote(&key.0),
        json::quote(&key.1),
        json::quote(&key.2)
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[index] == b'%' => {
                out.push(byte);
                index += 3;
            }
            _ => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = word >> (18 - 6 * digit) & 63;
                out.push(char::from(DIGITS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
