//! Why a transaction was turned away.

/// A transaction that did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TxnFault {
    /// A write names a lease that is not held.
    LeaseNotFound,
    /// A key is written twice.
    DuplicateKey,
}

impl TxnFault {
    /// The status of the answer.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::LeaseNotFound => 404,
            Self::DuplicateKey => 400,
        }
    }
}

impl std::fmt::Display for TxnFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::LeaseNotFound => "etcdserver: requested lease not found",
            Self::DuplicateKey => "etcdserver: duplicate key given in txn request",
        })
    }
}

impl std::error::Error for TxnFault {}
