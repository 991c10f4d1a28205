//! A TCP relay that counts the traffic between client and runner.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Relays connections to a target, and counts the connections and their bytes.
pub struct ByteRelay {
    address: SocketAddr,
    connections: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl ByteRelay {
    /// Starts a relay to `target` on a free port.
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
                std::thread::spawn(move || relay_connection(&client, target, &bytes));
            }
        });
        Ok(relay)
    }

    /// The address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// The number of bytes relayed so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

fn relay_connection(client: &TcpStream, target: SocketAddr, bytes: &AtomicU64) {
    let Ok(runner) = TcpStream::connect(target) else {
        return;
    };
    let nodelay = client.set_nodelay(true).and(runner.set_nodelay(true));
    nodelay.expect("TCP_NODELAY can be set");
    std::thread::scope(|scope| {
        scope.spawn(|| relay_bytes(client, &runner, bytes));
        relay_bytes(&runner, client, bytes);
    });
}

fn relay_bytes(mut source: &TcpStream, mut target: &TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(length) = source.read(&mut buffer) {
        if length == 0 || target.write_all(&buffer[..length]).is_err() {
            break;
        }
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
    // The other side may have closed the connection already.
    let _ = target.shutdown(Shutdown::Write);
}
