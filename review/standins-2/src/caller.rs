//! Callers of the daemons.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::call;
use crate::json::Json;
use crate::record::Record;

pub const HOST: &str = "nony24.example";
/// `Sapphirestile-Deadline-Ms` of the callers.
pub const DEADLINE_MS: u64 = 3_000;

/// One step of a submission.
#[derive(Clone, Default)]
pub struct Step {
    pub rows: Vec<(&'static str, Json)>,
}

impl Step {
    pub fn of(count: u64, cpu: u64, mem: u64) -> Self {
        Self {
            rows: vec![
                ("count", Json::number(count)),
                ("cpu", Json::number(cpu)),
                ("mem-mb", Json::number(mem)),
            ],
        }
    }

    pub fn with(mut self, key: &'static str, value: Json) -> Self {
        self.rows.push((key, value));
        self
    }
}

pub fn body(steps: &[Step], more: Vec<(&str, Json)>) -> String {
    let steps = steps
        .iter()
        .map(|step| Json::table(step.rows.clone()))
        .collect();
    let mut rows = vec![("spec", Json::text("(text)")), ("steps", Json::List(steps))];
    rows.extend(more);
    Json::table(rows).write()
}

/// Sends a request as a client does. `None` if it got no answer.
pub fn send(
    record: &Record,
    daemon: SocketAddr,
    method: &str,
    path: &str,
    text: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let deadline = DEADLINE_MS.to_string();
    let headers = [("host", HOST), ("sapphirestile-deadline-ms", &*deadline)];
    let answer = call(daemon, method, path, &headers, text, timeout);
    match &answer {
        Some((status, body)) => record.write(&format!("{method} {path} -> {status} {body}")),
        None => record.write(&format!("{method} {path} -> no answer")),
    }
    answer
}

/// Submits until there is an answer that settles it, at a daemon after the other, with up to
/// four retries as a client makes. Returns whether it was accepted.
pub fn submit(record: &Record, daemons: &[SocketAddr], path: &str, text: &str) -> bool {
    for attempt in 0..5 {
        let daemon = daemons[attempt % daemons.len()];
        let answer = send(
            record,
            daemon,
            "POST",
            path,
            text,
            Duration::from_millis(DEADLINE_MS),
        );
        match answer {
            Some((200..=299, _)) => return true,
            Some((404, _)) => return false,
            _ => std::thread::sleep(Duration::from_millis(300)),
        }
    }
    false
}

/// The state that is shown of a submission.
pub fn state(record: &Record, daemon: SocketAddr, path: &str) -> Option<(u16, String)> {
    let (status, text) = send(
        record,
        daemon,
        "GET",
        path,
        "",
        Duration::from_millis(DEADLINE_MS),
    )?;
    let state = Json::read(&text).map(|body| body.get("state").as_text().to_owned());
    Some((status, state.unwrap_or_default()))
}
