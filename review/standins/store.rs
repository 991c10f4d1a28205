//! Stand-in for the platform's store, as the page on the protocol describes it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Service;
use crate::json::Json;
use crate::json::quoted;

/// The largest number of items in a page of a range.
const PAGE_ITEMS: usize = 500;
/// The largest value, in bytes, as the settings of the site say (`value-bytes`).
const VALUE_MAX_BYTES: usize = 1_048_576;

struct Row {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Rows {
    revision: u64,
    current: BTreeMap<String, Row>,
    /// Revision, key, and value unless the row was removed.
    history: Vec<(u64, String, Option<String>)>,
    is_down: bool,
    /// The daemon whose commit under a condition was carried out last.
    last_writer: Option<usize>,
    /// Commits that write a key with this prefix get no answer and are carried out late.
    late: Option<(String, Duration)>,
    pub late_calls: u64,
    pub commits: u64,
    pub refused_as_too_large: u64,
}

/// The store. Each daemon reaches it at a port of its own, so that the callers are known.
#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap()
    }

    /// Writes a row as operators and runners do; false while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut rows = self.lock();
        if rows.is_down {
            return false;
        }
        rows.revision += 1;
        rows.write(key, &base64(value.as_bytes()));
        self.changed.notify_all();
        true
    }

    /// While it is down, every call gets 503, and nothing is done.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Commits that write a key with this prefix get no answer and are carried out `after`
    /// that time, if their condition still holds; `None` ends that.
    pub fn set_late(&self, late: Option<(String, Duration)>) {
        self.lock().late = late;
    }

    pub fn late_calls(&self) -> (u64, u64) {
        let rows = self.lock();
        (rows.late_calls, rows.commits)
    }

    pub fn refused_as_too_large(&self) -> u64 {
        self.lock().refused_as_too_large
    }

    /// The daemon that last wrote under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.lock().last_writer
    }

    fn key(&self, key: &str) -> Reply {
        let rows = self.lock();
        match rows.current.get(key) {
            Some(row) => {
                let item = item(key, row);
                let body = format!(
                    "{},\"store-revision\":{}}}",
                    &item[..item.len() - 1],
                    rows.revision
                );
                Reply::Answer(200, body)
            }
            None => Reply::Answer(404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let rows = self.lock();
        let mut found = rows
            .current
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, row)| item(key, row))
            .collect();
        let has_more = found.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":{has_more},\"store-revision\":{}}}",
            items.join(","),
            rows.revision
        );
        Reply::Answer(200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let end = Instant::now() + wait;
        let mut rows = self.lock();
        loop {
            if rows.is_down {
                return Reply::Close;
            }
            let first = rows
                .history
                .partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<String> = rows.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, value)| event(*revision, key, value.as_deref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    rows.revision
                );
                return Reply::Answer(200, body);
            }
            rows = self
                .changed
                .wait_timeout(rows, left.min(Duration::from_millis(100)))
                .unwrap()
                .0;
        }
    }

    fn commit(&self, body: &Json, writer: usize) -> Reply {
        let mut rows = self.lock();
        let guards = body.list("expected");
        let holds = |guard: &Json| {
            let revision = rows
                .current
                .get(guard.text("key"))
                .map_or(0, |row| row.revision);
            guard.number("revision") == Some(revision)
        };
        if !guards.iter().all(holds) {
            let items: Vec<String> = guards
                .iter()
                .filter_map(|guard| {
                    let key = guard.text("key");
                    rows.current.get(key).map(|row| item(key, row))
                })
                .collect();
            return Reply::Answer(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let too_large = |write: &Json| write.text("value").len() / 4 * 3 > VALUE_MAX_BYTES + 2;
        if body.list("writes").iter().any(too_large) {
            rows.refused_as_too_large += 1;
            return Reply::Answer(400, "{\"error\":\"a value is too large\"}".to_owned());
        }
        rows.revision += 1;
        rows.commits += 1;
        if !guards.is_empty() {
            rows.last_writer = Some(writer);
        }
        for write in body.list("writes") {
            rows.write(write.text("key"), write.text("value"));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                rows.remove(key);
            }
        }
        self.changed.notify_all();
        Reply::Answer(200, format!("{{\"revision\":{}}}", rows.revision))
    }

    /// Whether a commit gets no answer and is carried out late.
    fn lateness(&self, body: &Json) -> Option<Duration> {
        let mut rows = self.lock();
        let (prefix, after) = rows.late.clone()?;
        let is_hit = body
            .list("writes")
            .iter()
            .any(|write| write.text("key").starts_with(&prefix));
        is_hit.then(|| {
            rows.late_calls += 1;
            after
        })
    }
}

impl Rows {
    fn write(&mut self, key: &str, value: &str) {
        let revision = self.revision;
        let created = self.current.get(key).map_or(revision, |row| row.created);
        let row = Row {
            value: value.to_owned(),
            revision,
            created,
        };
        self.current.insert(key.to_owned(), row);
        self.history
            .push((revision, key.to_owned(), Some(value.to_owned())));
    }

    fn remove(&mut self, key: &str) {
        if self.current.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

fn item(key: &str, row: &Row) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        quoted(key),
        row.value,
        row.revision,
        row.created
    )
}

fn event(revision: u64, key: &str, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"lease\":0}}",
            quoted(key)
        ),
        None => format!(
            "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
            quoted(key)
        ),
    }
}

/// The port of the store for one daemon.
pub struct StorePort {
    pub store: Arc<Store>,
    pub daemon: usize,
}

impl Service for StorePort {
    fn answer(&self, request: &Request) -> Reply {
        let store = &self.store;
        if store.lock().is_down {
            return Reply::Answer(503, "{}".to_owned());
        }
        let number = |name: &str| request.query(name).parse().unwrap_or(0);
        match request.path() {
            "/-/kv-key" => store.key(&request.query("key")),
            "/-/kv-range" => store.range(&request.query("prefix"), &request.query("after")),
            "/-/kv-watch" => {
                let wait = Duration::from_millis(number("wait-ms"));
                store.watch(&request.query("prefix"), number("after"), wait)
            }
            "/-/kv-txn" => {
                let Some(body) = Json::parse(&request.body) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                if let Some(after) = store.lateness(&body) {
                    let (store, daemon) = (Arc::clone(store), self.daemon);
                    thread::spawn(move || {
                        thread::sleep(after);
                        store.commit(&body, daemon);
                    });
                    return Reply::Silent;
                }
                store.commit(&body, self.daemon)
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            let index = (bits >> (18 - 6 * place)) & 63;
            out.push(if place <= chunk.len() {
                LETTERS[index as usize] as char
            } else {
                '='
            });
        }
    }
    out
}
