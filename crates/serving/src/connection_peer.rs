//! Address of the peer of a connection.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::thread;

const THREAD_SUFFIX: &str = ": responding thread of OxHTTP";

/// Address of the peer of an HTTP connection.
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
    /// The peer whose connection the current thread serves; `None` when it serves none.
    /// The address is parsed from the name of the thread, since `OxHTTP` exposes it
    /// nowhere else.
    #[must_use]
    pub fn of_this_thread() -> Option<Self> {
        let thread = thread::current();
        thread.name().and_then(|name| Self::try_from(name).ok())
    }

    /// The IP address, with an IPv4-mapped IPv6 address converted to IPv4.
    #[must_use]
    pub const fn address(&self) -> IpAddr {
        self.address
    }
}

impl TryFrom<&str> for ConnectionPeer {
    type Error = &'static str;

    /// Parses the name of a thread that serves a connection.
    fn try_from(name: &str) -> Result<Self, Self::Error> {
        name.strip_suffix(THREAD_SUFFIX)
            .and_then(|address| address.parse::<SocketAddr>().ok())
            .map(|socket| Self {
                address: socket.ip().to_canonical(),
            })
            .ok_or("thread name contains no peer address")
    }
}
