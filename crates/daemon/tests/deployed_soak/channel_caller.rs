//! A caller that uses each connection for as long as it is open.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_platform_standins::SiteBodies;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bounds a test that fails; no check depends on it.
const PATIENCE: Duration = Duration::from_mins(1);

/// The pause before the next attempt to connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Sends one request after the other to one daemon, and leaves a connection only when the
/// daemon ends it.
pub struct ChannelCaller {
    address: SocketAddr,
    number: u64,
    think_max_ms: u64,
    random: StdRng,
    requests: u64,
    answers: u64,
    crossed: u64,
}

impl ChannelCaller {
    /// The caller waits for up to `think_max_ms` before it sends again.
    pub fn new(address: SocketAddr, number: u64, think_max_ms: u64) -> Self {
        Self {
            address,
            number,
            think_max_ms,
            random: StdRng::seed_from_u64(number),
            requests: 0,
            answers: 0,
            crossed: 0,
        }
    }

    /// The number of requests that were answered.
    pub const fn answers(&self) -> u64 {
        self.answers
    }

    /// The number of requests whose connection ended without the first byte of an answer.
    pub const fn crossed(&self) -> u64 {
        self.crossed
    }

    /// Opens a connection if the daemon is in rotation, and uses it until the daemon ends it.
    pub fn use_one_channel(&mut self, is_in_rotation: &AtomicBool) {
        let is_open = is_in_rotation.load(Ordering::Acquire);
        let stream = is_open.then(|| TcpStream::connect(self.address));
        let Some(Ok(mut stream)) = stream else {
            thread::sleep(CONNECT_PAUSE);
            return;
        };
        let patience = stream.set_read_timeout(Some(PATIENCE));
        patience.expect("a timeout can be set");
        while !has_ended(&stream) {
            if !self.call(&mut stream) {
                self.crossed += 1;
                return;
            }
            self.answers += 1;
            let think_ms = self.random.random_range(0..=self.think_max_ms);
            thread::sleep(Duration::from_millis(think_ms));
        }
    }

    /// Sends a request and reads its answer; false if the connection ends before it.
    fn call(&mut self, stream: &mut TcpStream) -> bool {
        self.requests += 1;
        let sent = stream.write_all(self.next_request().as_bytes());
        let mut first = [0];
        let length = sent.and_then(|()| stream.peek(&mut first));
        if !length.is_ok_and(|length| length > 0) {
            return false;
        }
        read_answer(stream);
        true
    }

    /// A submission, a question for its state, and one for a count, in turn.
    fn next_request(&self) -> String {
        let turn = self.requests / 3;
        let job = format!("{:08x}{turn:08x}", self.number);
        match self.requests % 3 {
            0 => request(
                "POST",
                &format!("/charts/{job}"),
                &SiteBodies::two_steps("100"),
            ),
            1 => request("GET", &format!("/charts/{job}"), ""),
            _ => request("GET", "/charts/", ""),
        }
    }
}

fn request(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\n\
         sapphirestile-deadline-ms: 3000\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Whether the daemon has ended the connection. It sends nothing without being asked.
fn has_ended(stream: &TcpStream) -> bool {
    let set = |is_nonblocking| {
        let set = stream.set_nonblocking(is_nonblocking);
        set.expect("the mode of a socket can be set");
    };
    set(true);
    let ended = stream.peek(&mut [0]).is_ok();
    set(false);
    ended
}

/// Reads an answer, which has to be complete.
fn read_answer(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        let read = stream.read_exact(&mut byte);
        read.expect("the head of the answer is complete");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("a head is text");
    let (_, rest) = head
        .split_once("content-length: ")
        .expect("the body has a length");
    let digits = rest.split("\r\n").next().unwrap_or_default();
    let mut body = vec![0; digits.parse().expect("a length is a number")];
    let read = stream.read_exact(&mut body);
    read.expect("the body of the answer is complete");
}
