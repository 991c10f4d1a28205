//! A condition of a transaction.

use serde::Deserialize;
use serde::Serialize;

use crate::store::Base64Bytes;
use crate::store::CompareResult;
use crate::store::CompareTarget;
use crate::store::DecimalNumber;

/// Compares the revision of a key's last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareClause<'a> {
    /// The key whose revision is compared.
    pub key: Base64Bytes<'a>,
    /// The attribute of the key that is compared.
    pub target: CompareTarget,
    /// The comparison that must hold.
    pub result: CompareResult,
    /// The revision to compare with; 0 for an absent key.
    #[serde(default, alias = "modRevision")]
    pub mod_revision: DecimalNumber,
}
