//! Establishing of TCP connections.

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
}

impl Connector for PeerConnector {
    type Out = <TcpConnector as Connector>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        self.connector
            .connect(details, chained)
            .map_err(|cause| Error::Other(Box::new(ConnectError::new(cause))))
    }
}
