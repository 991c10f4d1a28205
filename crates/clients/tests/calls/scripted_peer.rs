//! A TCP peer that sends scripted responses byte for byte.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;

use sapphirestile_clients::http::PeerAddress;

use crate::peer_script::PeerScript;

/// A peer that accepts connections one after the other and follows one script on each.
pub struct ScriptedPeer {
    address: PeerAddress,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedPeer {
    /// Starts a peer that follows `scripts`, one for each connection.
    pub fn start(scripts: Vec<Vec<PeerScript>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        std::thread::spawn(move || {
            for script in scripts {
                let (stream, _) = listener.accept().expect("a connection");
                let seen = Arc::clone(&seen);
                std::thread::spawn(move || follow(&stream, script, &seen));
            }
            // Further connections are recorded and closed.
            while let Ok((stream, _)) = listener.accept() {
                seen.lock().unwrap().push("beyond the script".into());
                drop(stream);
            }
        });
        Self {
            address: PeerAddress::try_from(address).expect("a port other than 0"),
            requests,
        }
    }

    /// Starts a peer that responds to one request on one connection.
    pub fn once(response: &str) -> Self {
        Self::start(vec![vec![PeerScript::respond_and_close(response)]])
    }

    /// The address at which the peer listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// The requests received so far, each with its head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Returns an address at which nothing listens.
pub fn unused_address() -> PeerAddress {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    PeerAddress::try_from(address).expect("a port other than 0")
}

fn follow(stream: &TcpStream, script: Vec<PeerScript>, seen: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream);
    for step in script {
        let Some(request) = read_request(&mut reader) else {
            return;
        };
        seen.lock().unwrap().push(request);
        let mut writer = stream;
        // The client may have disconnected already.
        let _ = match step {
            PeerScript::Respond(bytes) => writer.write_all(&bytes),
            PeerScript::RespondAndClose(bytes) => {
                let _ = writer.write_all(&bytes);
                return;
            }
            PeerScript::RespondSlowly(bytes, parts, pause) => {
                for part in bytes.chunks(bytes.len().div_ceil(parts)) {
                    std::thread::sleep(pause);
                    let _ = writer.write_all(part);
                }
                Ok(())
            }
            PeerScript::RespondTogether(together, bytes) => {
                together.wait();
                writer.write_all(&bytes)
            }
            PeerScript::RespondLate(signal, bytes) => {
                let _ = signal.recv();
                let _ = writer.write_all(&bytes);
                return;
            }
        };
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).expect("text"))
}
