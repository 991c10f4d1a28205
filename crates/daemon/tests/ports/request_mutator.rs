//! Random changes of valid messages.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The most changes of one message.
const CHANGES_MAX: u32 = 4;

/// The most bytes that one change repeats, removes or inserts.
const RANGE_BYTES_MAX: usize = 64;

/// How often a range is repeated to make a message oversized.
const REPEATS: usize = 400;

/// Pieces of requests on which decoders have failed before, or may fail.
const PIECES: [&[u8]; 28] = [
    b"\0",
    b"\xff",
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b":",
    b"/",
    b"?",
    b"#",
    b"%",
    b"%00",
    b"@",
    b"[::1",
    b"*",
    b"a:1",
    b"http://",
    b"http://a:b@c:99999/",
    b"CONNECT ",
    b"HTTP/1.0",
    b"HTTP/2.0",
    b"-1",
    b"18446744073709551616",
    b"ffffffffffffffff\r\n",
    b"\r\nexpect: 100-continue",
    b"\r\nconnection: close",
    b"\r\ntransfer-encoding: chunked",
    b"\r\ncontent-length: 7",
];

/// Targets that replace the one of a request.
const TARGETS: [&[u8]; 10] = [
    b"a:1",
    b"a",
    b"*",
    b"",
    b"//",
    b"?",
    b"http://a",
    b"http://a?b",
    b"[::1]:80",
    b"u:p@a:1",
];

/// Draws changed messages from a seed.
pub struct RequestMutator {
    random: StdRng,
}

impl RequestMutator {
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// One of `messages` with one to [`CHANGES_MAX`] changes.
    pub fn draw(&mut self, messages: &[Vec<u8>]) -> Vec<u8> {
        let mut bytes = messages[self.random.random_range(0..messages.len())].clone();
        for _ in 0..self.random.random_range(1..=CHANGES_MAX) {
            self.change(&mut bytes);
        }
        bytes
    }

    fn change(&mut self, bytes: &mut Vec<u8>) {
        let start = self.random.random_range(0..=bytes.len());
        let length = self.random.random_range(0..=RANGE_BYTES_MAX);
        let end = bytes.len().min(start + length);
        match self.random.random_range(0..8) {
            0 => bytes.truncate(start),
            1 => drop(bytes.drain(start..end)),
            2 => {
                let piece = PIECES[self.random.random_range(0..PIECES.len())];
                bytes.splice(start..start, piece.iter().copied());
            }
            3 => {
                let piece = PIECES[self.random.random_range(0..PIECES.len())];
                bytes.splice(start..end, piece.iter().copied());
            }
            4 => {
                let repeated = bytes[start..end].repeat(REPEATS);
                bytes.splice(start..start, repeated);
            }
            5 => self.replace_target(bytes),
            6 => bytes.insert(start, self.random.random()),
            _ => {
                if let Some(byte) = bytes.get_mut(start) {
                    *byte ^= 1 << self.random.random_range(0..u8::BITS);
                }
            }
        }
    }

    /// Replaces what stands between the first two spaces.
    fn replace_target(&mut self, bytes: &mut Vec<u8>) {
        let mut spaces = (0..bytes.len()).filter(|index| bytes[*index] == b' ');
        if let (Some(first), Some(second)) = (spaces.next(), spaces.next()) {
            let target = TARGETS[self.random.random_range(0..TARGETS.len())];
            bytes.splice(first + 1..second, target.iter().copied());
        }
    }
}
