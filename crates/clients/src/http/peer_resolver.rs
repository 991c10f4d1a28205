//! Knows the address of a peer.

use std::net::SocketAddr;

use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::ResolvedSocketAddrs;
use ureq::unversioned::resolver::Resolver;
use ureq::unversioned::transport::NextTimeout;

use crate::http::PeerAddress;

/// Gives the address of one peer for every request.
///
/// The resolver of the library starts a thread for each request with a time
/// limit, although the address is a number.
#[derive(Debug)]
pub(crate) struct PeerResolver {
    address: SocketAddr,
}

impl PeerResolver {
    /// A resolver that knows `peer` alone.
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
