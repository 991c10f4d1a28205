//! Connects to a peer.

use ureq::Error;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::TcpConnector;

use crate::http::connect_fault::ConnectFault;

/// Makes TCP connections and marks every failure to make one.
///
/// Some failures, such as an unreachable host, have the same kind on a
/// connection that was made. The mark tells them apart.
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
            .map_err(|cause| Error::Other(Box::new(ConnectFault::new(cause))))
    }
}
