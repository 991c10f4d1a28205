//! A small HTTP/1.1 server and client over loopback.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A request that was read whole.
pub struct Request {
    /// The path and the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// The number that the server gave the connection when it was accepted.
    pub connection_tag: u64,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The decoded value of a query parameter; empty when it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or(String::new(), |(_, value)| decode(value))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
    /// Nothing is sent, and the connection stays open until its peer closes it.
    Silent,
}

/// Handles the requests of one port.
pub trait Service: Send + Sync + 'static {
    /// The tag of a connection that is accepted now.
    fn tag(&self) -> u64 {
        0
    }
    /// Called with each connection that is accepted; false closes it at once.
    fn accept(&self, _stream: &TcpStream) -> bool {
        true
    }
    /// Called when a connection that was accepted has ended.
    fn ended(&self) {}
    fn answer(&self, request: &Request) -> Reply;
}

/// Binds a free loopback port.
pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address = listener.local_addr().expect("address of the port");
    (listener, address)
}

/// The first port of those that [`free_address`] tries: below the ports that the system gives
/// to outgoing connections.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 12_000;

/// A port that was free a moment ago, for another process to bind.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let start = std::process::id().wrapping_mul(97);
        let number = FIRST_PORT + start.wrapping_add(NEXT.fetch_add(1, Ordering::AcqRel)) % PORTS;
        let listener = TcpListener::bind(format!("127.0.0.1:{number}"));
        if let Ok(address) = listener.and_then(|listener| listener.local_addr()) {
            return address;
        }
    }
}

/// Serves a port with one thread for each connection.
pub fn serve(listener: TcpListener, service: Arc<dyn Service>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = Arc::clone(&service);
            let tag = service.tag();
            if !service.accept(&stream) {
                continue;
            }
            let builder = thread::Builder::new().stack_size(256 * 1024);
            let _ = builder.spawn(move || {
                serve_connection(&stream, tag, &*service);
                service.ended();
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, tag: u64, service: &dyn Service) {
    let _ = stream.set_nodelay(true);
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut input = BufReader::new(input);
    let mut output = stream;
    while let Some(mut request) = read_request(&mut input) {
        request.connection_tag = tag;
        match service.answer(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                if output.write_all((head + &body).as_bytes()).is_err() {
                    break;
                }
            }
            Reply::Close => break,
            Reply::Silent => {
                let mut rest = Vec::new();
                let _ = input.read_to_end(&mut rest);
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(input)?;
    let body = read_body(input, &headers)?;
    Some(Request {
        target,
        headers,
        body,
        connection_tag: 0,
    })
}

fn read_headers(input: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(input: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Sends a request on a new connection; `None` when no whole answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream
        .set_read_timeout(Some(wait + Duration::from_millis(300)))
        .ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nSapphirestile-Deadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        wait.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut input)?;
    let body = read_body(&mut input, &headers)?;
    Some((status, body))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
