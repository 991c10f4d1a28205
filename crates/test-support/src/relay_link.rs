//! A link that can be cut, silenced or slowed.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use crate::LinkMode;
use crate::link_state::LinkState;

/// Relays connections to a target as its [`LinkMode`] says.
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
        self.set_mode(LinkMode::Cut);
    }

    /// Passes everything on again.
    pub fn mend(&self) {
        self.set_mode(LinkMode::Open);
    }

    /// Has the link do something else from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.set_mode(mode);
    }
}
