//! Counts what passes between client and runner.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Passes connections on and counts them and their bytes.
pub struct ByteRelay {
    address: SocketAddr,
    connections: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl ByteRelay {
    /// Passes connections on to `target`.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Self {
            address: listener.local_addr()?,
            connections: Arc::default(),
            bytes: Arc::default(),
        };
        let connections = Arc::clone(&relay.connections);
        let bytes = Arc::clone(&relay.bytes);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::Relaxed);
                let bytes = Arc::clone(&bytes);
                std::thread::spawn(move || pass_both(&client, target, &bytes));
            }
        });
        Ok(relay)
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections were opened.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// How many bytes passed, both ways together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn pass_both(client: &TcpStream, target: SocketAddr, bytes: &AtomicU64) {
    let Ok(runner) = TcpStream::connect(target) else {
        return;
    };
    let nodelay = client.set_nodelay(true).and(runner.set_nodelay(true));
    nodelay.expect("the option is known");
    std::thread::scope(|scope| {
        scope.spawn(|| pass(client, &runner, bytes));
        pass(&runner, client, bytes);
    });
}

fn pass(mut source: &TcpStream, mut target: &TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = source.read(&mut buffer) {
        if length == 0 || target.write_all(&buffer[..length]).is_err() {
            break;
        }
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
    // The other side may have closed already.
    let _ = target.shutdown(Shutdown::Write);
}
