//! The peer of a connection.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::thread;

const THREAD_SUFFIX: &str = ": responding thread of OxHTTP";

/// The address of the peer at the other end of a connection.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::ConnectionPeer;
///
/// let name = "[::1]:4711: responding thread of OxHTTP";
/// let peer = ConnectionPeer::try_from(name).unwrap();
/// assert_eq!(peer.address().to_string(), "::1");
/// assert!(ConnectionPeer::try_from("main").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPeer {
    address: IpAddr,
}

impl ConnectionPeer {
    /// The peer whose connection the current thread serves. The library says it in
    /// the name of the thread alone.
    #[must_use]
    pub fn of_this_thread() -> Option<Self> {
        let thread = thread::current();
        thread.name().and_then(|name| Self::try_from(name).ok())
    }

    /// The IP number.
    #[must_use]
    pub const fn address(&self) -> IpAddr {
        self.address
    }
}

impl TryFrom<&str> for ConnectionPeer {
    type Error = &'static str;

    /// Reads the name of a thread that serves a connection.
    fn try_from(name: &str) -> Result<Self, Self::Error> {
        name.strip_suffix(THREAD_SUFFIX)
            .and_then(|address| address.parse::<SocketAddr>().ok())
            .map(|socket| Self {
                address: socket.ip().to_canonical(),
            })
            .ok_or("the thread serves no connection")
    }
}
