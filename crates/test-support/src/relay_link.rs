//! A link that can be cut.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use crate::link_state::LinkState;

/// Relays connections to a target until it is cut, and again once it is mended.
pub struct RelayLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl RelayLink {
    /// A link to `target`.
    ///
    /// # Panics
    ///
    /// When no port can be bound.
    #[must_use]
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port can be bound");
        let address = listener.local_addr().expect("a bound port has an address");
        let state = Arc::new(LinkState::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.relay(stream, target);
            }
        });
        Self { address, state }
    }

    /// Where the link begins.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks every connection off, and takes no new one.
    pub fn cut(&self) {
        self.state.set_cut(true);
    }

    /// Takes connections again.
    pub fn mend(&self) {
        self.state.set_cut(false);
    }
}
