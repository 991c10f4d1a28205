//! Errors of transactions.

/// Why a transaction is invalid. Its `Display` is the message that etcd gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnError {
    /// A write names a lease that has expired or was never granted.
    LeaseNotFound,
    /// A key is written twice, or both written and deleted.
    DuplicateKey,
}

impl TxnError {
    /// The HTTP status of the response.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::LeaseNotFound => 404,
            Self::DuplicateKey => 400,
        }
    }
}

impl std::fmt::Display for TxnError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::LeaseNotFound => "etcdserver: requested lease not found",
            Self::DuplicateKey => "etcdserver: duplicate key given in txn request",
        })
    }
}

impl std::error::Error for TxnError {}
