//! The address of a peer.

use std::net::SocketAddr;

use crate::http::AddressError;

/// An IP address and a port other than 0.
///
/// # Examples
///
/// ```
/// use sapphirestile_clients::http::PeerAddress;
///
/// let address = PeerAddress::try_from("127.0.0.1:2379").unwrap();
/// assert_eq!(address.to_string(), "127.0.0.1:2379");
/// assert!(PeerAddress::try_from("localhost:2379").is_err());
/// assert!(PeerAddress::try_from("127.0.0.1:0").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerAddress(SocketAddr);

impl PeerAddress {
    /// Returns the address as a socket address.
    #[must_use]
    pub const fn socket(self) -> SocketAddr {
        self.0
    }
}

impl TryFrom<SocketAddr> for PeerAddress {
    type Error = AddressError;

    fn try_from(address: SocketAddr) -> Result<Self, Self::Error> {
        if address.port() == 0 {
            return Err(AddressError::new(&address.to_string()));
        }
        Ok(Self(address))
    }
}

impl TryFrom<&str> for PeerAddress {
    type Error = AddressError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let address: SocketAddr = text.parse().map_err(|_| AddressError::new(text))?;
        Self::try_from(address)
    }
}

impl std::fmt::Display for PeerAddress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
