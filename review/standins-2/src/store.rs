//! Stand-in for the platform's store, after the pages' section on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;

use crate::http::Request;

use crate::http::serve;
use crate::json::Json;

/// Time of an answer of a healthy store, half before and half after its effect.
const ANSWER: Duration = Duration::from_millis(4);
const ITEMS_PER_PAGE: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const ENTRIES_MAX: usize = 32;
const KEY_BYTES_MAX: usize = 200;
/// `value-bytes` of the settings.
const VALUE_BYTES_MAX: usize = 1_048_576;
/// `retention-s` of the settings.
const RETENTION: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Row {
    value: String,
    revision: u64,
    created: u64,
}

struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
    at: Instant,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    changes: Vec<Change>,
    revision: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    /// How many times as long an answer takes; 0 stands for 1.
    slowness: u32,
    /// Counts the times that history was dropped, which cuts waiting watches.
    drops: u64,
    /// Largest value that was offered, and how many writes were refused for their size.
    largest: usize,
    refused: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        let address = serve(Arc::new(move |request| served.answer(request)));
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes a row as an operator or a worker does.
    pub fn put(&self, key: &str, text: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, base64(text.as_bytes()));
        self.changed.notify_all();
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Discards the history and cuts the watches that wait.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.forgotten = state.revision;
        state.changes.clear();
        state.drops += 1;
        self.changed.notify_all();
    }

    /// Makes answers take so many times as long.
    pub fn slow(&self, slowness: u32) {
        self.lock().slowness = slowness;
    }

    fn half_answer(&self) -> Duration {
        ANSWER / 2 * self.lock().slowness.max(1)
    }

    /// Largest value that was offered, and the number of writes refused for their size.
    pub fn sizes(&self) -> (usize, u64) {
        let state = self.lock();
        (state.largest, state.refused)
    }

    /// Keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state
            .rows
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn answer(&self, request: &Request) -> Reply {
        thread::sleep(self.half_answer());
        let reply = match request.path.as_str() {
            "/-/kv-key" => self.read(request.query("key")),
            "/-/kv-range" => self.range(request.query("prefix"), request.query("after")),
            "/-/kv-watch" => return self.watch(request),
            "/-/kv-txn" => self.commit(&request.body),
            _ => Reply::of(404, "{}".to_owned()),
        };
        thread::sleep(self.half_answer());
        reply
    }

    fn read(&self, key: &str) -> Reply {
        let state = self.lock();
        match state.rows.get(key) {
            Some(row) => {
                let Json::Table(mut rows) = item(key, row) else {
                    unreachable!()
                };
                rows.push(("store-revision".to_owned(), Json::number(state.revision)));
                Reply::of(200, Json::Table(rows).write())
            }
            None => {
                let body = Json::table(vec![("store-revision", Json::number(state.revision))]);
                Reply::of(404, body.write())
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.lock();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, row) in state.rows.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= ITEMS_PER_PAGE || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += row.value.len();
            items.push(item(key, row));
        }
        let body = Json::table(vec![
            ("items", Json::List(items)),
            ("has-more", Json::Bool(has_more)),
            ("store-revision", Json::number(state.revision)),
        ]);
        Reply::of(200, body.write())
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let drops = state.drops;
        loop {
            if after < state.forgotten || state.drops != drops {
                return Reply::of(410, "{}".to_owned());
            }
            let start = state
                .changes
                .partition_point(|change| change.revision <= after);
            let found = state.changes[start..]
                .iter()
                .filter(|change| change.key.starts_with(prefix));
            let events: Vec<Json> = found.map(event).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = Json::table(vec![
                    ("events", Json::List(events)),
                    ("store-revision", Json::number(state.revision)),
                ]);
                drop(state);
                thread::sleep(self.half_answer());
                return Reply::of(200, body.write());
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    fn commit(&self, body: &str) -> Reply {
        let Some(body) = Json::read(body) else {
            return Reply::of(400, "{}".to_owned());
        };
        let (expected, writes, remove) = (
            body.get("expected").as_list(),
            body.get("writes").as_list(),
            body.get("remove").as_list(),
        );
        let mut state = self.lock();
        if expected.len() + writes.len() + remove.len() > ENTRIES_MAX {
            return Reply::of(400, r#"{"error":"too many entries"}"#.to_owned());
        }
        for write in writes {
            let bytes = write.get("value").as_text().len() / 4 * 3;
            state.largest = state.largest.max(bytes);
            if bytes > VALUE_BYTES_MAX + 2 || write.get("key").as_text().len() > KEY_BYTES_MAX {
                state.refused += 1;
                return Reply::of(400, r#"{"error":"key or value too large"}"#.to_owned());
            }
        }
        let holds = |guard: &Json| {
            let row = state.rows.get(guard.get("key").as_text());
            Some(row.map_or(0, |row| row.revision)) == guard.get("revision").as_u64()
        };
        let (status, answer) = if expected.iter().all(holds) {
            state.revision += 1;
            for write in writes {
                let value = write.get("value").as_text().to_owned();
                state.write(write.get("key").as_text(), value);
            }
            for key in remove {
                state.remove(key.as_text());
            }
            self.changed.notify_all();
            (
                200,
                Json::table(vec![("revision", Json::number(state.revision))]),
            )
        } else {
            let items = expected.iter().filter_map(|guard| {
                let key = guard.get("key").as_text();
                Some(item(key, state.rows.get(key)?))
            });
            (
                412,
                Json::table(vec![("items", Json::List(items.collect()))]),
            )
        };
        Reply::of(status, answer.write())
    }
}

impl State {
    fn write(&mut self, key: &str, value: String) {
        let revision = self.revision;
        let created = self.rows.get(key).map_or(revision, |row| row.created);
        self.rows.insert(
            key.to_owned(),
            Row {
                value: value.clone(),
                revision,
                created,
            },
        );
        self.note(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, value: Option<String>) {
        let (revision, at) = (self.revision, Instant::now());
        self.changes.push(Change {
            key: key.to_owned(),
            value,
            revision,
            at,
        });
        let old = self
            .changes
            .partition_point(|change| change.at.elapsed() > RETENTION);
        if old > 1_000 {
            self.forgotten = self.changes[old - 1].revision;
            self.changes.drain(..old);
        }
    }
}

fn item(key: &str, row: &Row) -> Json {
    Json::table(vec![
        ("key", Json::text(key)),
        ("value", Json::text(&row.value)),
        ("revision", Json::number(row.revision)),
        ("created", Json::number(row.created)),
        ("lease", Json::number(0)),
    ])
}

fn event(change: &Change) -> Json {
    let mut rows = vec![
        ("key", Json::text(&change.key)),
        ("revision", Json::number(change.revision)),
    ];
    match &change.value {
        Some(value) => rows.push(("value", Json::text(value))),
        None => rows.push(("deleted", Json::Bool(true))),
    }
    Json::table(rows)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            if digit <= part.len() {
                out.push(char::from(
                    DIGITS[(number >> (18 - 6 * digit) & 63) as usize],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}
