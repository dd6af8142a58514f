//! The platform's store: rows, transactions and feeds, in memory. It behaves as a sound one.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{Json, base64};

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    key: Key,
    /// Base64; `None` for a row that was dropped.
    value: Option<String>,
    version: u64,
}

impl Row {
    fn render(&self) -> String {
        let (table, part, key) = &self.key;
        let rest = match &self.value {
            Some(value) => format!("\"Value\":\"{value}\""),
            None => "\"Deleted\":true".into(),
        };
        format!(
            "{{\"Table\":\"{table}\",\"part\":\"{part}\",\"Key\":\"{key}\",{rest},\"Ver\":{}}}",
            self.version
        )
    }
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    history: Vec<Row>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Opens a port for one machine. While the flag is set, the store turns that machine away with 503:
    /// nothing was done.
    pub fn open(self: &Arc<Self>) -> (u16, Arc<AtomicBool>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        let away = Arc::new(AtomicBool::new(false));
        let (store, flag) = (self.clone(), away.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, flag) = (store.clone(), flag.clone());
                std::thread::spawn(move || store.serve(Connection::new(stream), &flag));
            }
        });
        (port, away)
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row { key, value: Some(base64(value.as_bytes())), version: state.version };
        state.rows.insert(row.key.clone(), row.clone());
        state.history.push(row);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection, away: &AtomicBool) {
        while let Some(request) = connection.read() {
            let path = request.word(1).to_owned();
            let (path, query) = path.split_once('?').unwrap_or((&path, ""));
            let get = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let found = pairs.into_iter().find(|(known, _)| *known == name);
                decode(found.map_or("", |(_, value)| value))
            };
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (status, answer) = match path {
                _ if away.load(Ordering::Relaxed) => (503, "{}".into()),
                "/rows-get" => self.rows(&get("Table"), &get("part"), &get("From"), &get("Limit")),
                "/rows-feed" => self.feed(&get("Table"), &get("after"), &get("WaitMs")),
                "/rows-tx" => self.transact(&body),
                _ => (404, "{}".into()),
            };
            let turned_away = status == 200 && path != "/rows-tx" && away.load(Ordering::Relaxed);
            let (status, answer) = if turned_away { (503, "{}".into()) } else { (status, answer) };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if !connection.write(&text) {
                return;
            }
        }
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.rows.keys().filter(|key| key.0 == table);
        keys.map(|key| key.2.clone()).collect()
    }

    fn answer(&self, rows: &[Row], more: bool, version: u64) -> String {
        let rows: Vec<String> = rows.iter().map(Row::render).collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":{more},\"Ver\":{version},\"NowS\":{:.3}}}",
            rows.join(","),
            self.started.elapsed().as_secs_f64()
        )
    }

    fn rows(&self, table: &str, part: &str, from: &str, limit: &str) -> (u16, String) {
        let limit = limit.parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let wanted = |row: &&Row| row.key.0 == table && row.key.1 == part && *row.key.2 >= *from;
        let mut rows: Vec<Row> = state.rows.values().filter(wanted).cloned().collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        (200, self.answer(&rows, more, state.version))
    }

    fn feed(&self, table: &str, after: &str, wait_ms: &str) -> (u16, String) {
        let after: u64 = after.parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        if after > state.version {
            return (410, "{}".into());
        }
        loop {
            let newer = |row: &&Row| row.key.0 == table && row.version > after;
            let rows: Vec<Row> = state.history.iter().filter(newer).cloned().collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.answer(&rows, false, state.version));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let key_of = |row: &Json| -> Key {
            let text = |name| row.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let mut state = self.state.lock().unwrap();
        for expected in body.get("Expect").list() {
            let version = state.rows.get(&key_of(expected)).map_or(0, |row| row.version);
            #[allow(clippy::cast_precision_loss)]
            if version as f64 != expected.get("Ver").number() {
                return (412, self.answer(&[], false, state.version));
            }
        }
        state.version += 1;
        let version = state.version;
        for put in body.get("Puts").list() {
            let value = Some(put.get("Value").text().to_owned());
            let row = Row { key: key_of(put), value, version };
            state.rows.insert(row.key.clone(), row.clone());
            state.history.push(row);
        }
        for delete in body.get("Deletes").list() {
            let row = Row { key: key_of(delete), value: None, version };
            state.rows.remove(&row.key);
            state.history.push(row);
        }
        self.changed.notify_all();
        (200, self.answer(&[], false, version))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
