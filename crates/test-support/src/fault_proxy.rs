//! A TCP proxy that simulates network faults.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::ProxyMode;
use crate::proxy_state::ProxyState;

/// How often a proxy that has all its connections looks whether one was closed.
const FULL_INTERVAL: Duration = Duration::from_millis(5);

/// Forwards TCP connections to a target and simulates the network fault of its
/// [`ProxyMode`]. Its threads and its port last until the process ends.
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// When the port cannot be bound.
    #[must_use]
    pub fn start(target: SocketAddr) -> Self {
        Self::start_with_limit(target, usize::MAX)
    }

    /// Starts a proxy that has at most `connections_max` connections open. Further ones wait in
    /// the listener's queue until one is closed.
    ///
    /// # Panics
    ///
    /// When the port cannot be bound.
    #[must_use]
    pub fn start_with_limit(target: SocketAddr, connections_max: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free loopback port");
        let address = listener
            .local_addr()
            .expect("read the address of a bound port");
        let state = Arc::new(ProxyState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                while shared.open_connections() >= connections_max {
                    thread::sleep(FULL_INTERVAL);
                }
                if let Ok((stream, _)) = listener.accept() {
                    shared.relay(stream, target);
                }
            }
        });
        Self { address, state }
    }

    /// The address that clients connect to instead of the target's.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets [`ProxyMode::Disconnected`].
    pub fn disconnect(&self) {
        self.set_mode(ProxyMode::Disconnected);
    }

    /// Sets [`ProxyMode::Forwarding`].
    pub fn restore(&self) {
        self.set_mode(ProxyMode::Forwarding);
    }

    /// Changes the simulated fault, for open connections as well as for new ones.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.state.set_mode(mode);
    }

    /// Withholds all further data of the open connections for good, without closing them; new
    /// ones work.
    pub fn silence_open(&self) {
        self.state.silence_open();
    }

    /// The number of connections that clients have not closed.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.state.open_connections()
    }
}
