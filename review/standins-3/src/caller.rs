//! Requests of callers, each on a channel of its own or on one that is kept.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::site::HOST;

/// How long a caller waits for an answer, in milliseconds.
pub const DEADLINE_MS: u64 = 3_000;

/// Sends one request on a new channel. Returns the status and the body.
pub fn send(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let wait = Duration::from_millis(DEADLINE_MS + 200);
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Sapphirestile-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Some((status, body.to_owned()))
}

/// The status of an answer as text.
pub fn shown(answer: &Option<(u16, String)>) -> String {
    match answer {
        Some((status, body)) => format!("{status} {}", body.trim()),
        None => "no answer".to_owned(),
    }
}
