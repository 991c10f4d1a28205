//! Establishing of TCP connections.

use std::io::ErrorKind;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use ureq::Error;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;

use crate::http::connect_error::ConnectError;

/// Establishes TCP connections and marks each failure with a [`ConnectError`].
///
/// Some errors, such as an unreachable host, have the same kind on an established
/// connection. The mark tells them apart, since only without a connection is it certain
/// that nothing was sent.
#[derive(Debug, Default)]
pub(crate) struct PeerConnector {
    connector: TcpConnector,
    /// Whether only the first connection is established.
    is_pinned: bool,
    has_connected: AtomicBool,
}

impl PeerConnector {
    /// Creates a connector that establishes one connection and refuses every other.
    pub(crate) fn pinned() -> Self {
        Self {
            is_pinned: true,
            ..Self::default()
        }
    }
}

impl Connector for PeerConnector {
    type Out = <TcpConnector as Connector>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        if self.has_connected.swap(true, Ordering::AcqRel) && self.is_pinned {
            let closed = std::io::Error::from(ErrorKind::NotConnected);
            let refusal = ConnectError::new(Error::Io(closed));
            return Err(Error::Other(Box::new(refusal)));
        }
        self.connector
            .connect(details, chained)
            .map_err(|cause| Error::Other(Box::new(ConnectError::new(cause))))
    }
}
