//! Name resolution for one peer.

use std::net::SocketAddr;

use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::NextTimeout;

use crate::http::PeerAddress;

/// Resolves every request to the address of one peer.
///
/// The library's default resolver spawns a thread for each request with a timeout, even
/// if the host is an IP address.
#[derive(Debug)]
pub(crate) struct PeerResolver {
    address: SocketAddr,
}

impl PeerResolver {
    /// Creates a resolver that always returns `peer`.
    pub(crate) const fn new(peer: PeerAddress) -> Self {
        Self {
            address: peer.socket(),
        }
    }
}

impl Resolver for PeerResolver {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let mut addresses = self.empty();
        addresses.push(self.address);
        Ok(addresses)
    }
}
