//! A condition of a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::CompareResult;
use crate::store::CompareTarget;
use crate::store::DecimalNumber;

/// Compares the revision of the last write of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareClause<'a> {
    /// The key.
    pub key: Base64Bytes<'a>,
    /// What is compared.
    pub target: CompareTarget,
    /// How it is compared.
    pub result: CompareResult,
    /// The revision compared with; 0 for an absent key.
    #[serde(default, alias = "modRevision")]
    pub mod_revision: DecimalNumber,
}
