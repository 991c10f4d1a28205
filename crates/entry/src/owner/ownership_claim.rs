//! The ownership row as written by its owner.

use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::store::OwnershipRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The ownership row as this daemon last wrote it.
#[derive(Clone, Debug)]
pub struct OwnershipClaim {
    /// The contents of the row.
    pub row: OwnershipRow,
    /// The revision of the row in the store.
    pub revision: u64,
}

impl OwnershipClaim {
    /// The condition that no other daemon has written the row since.
    pub fn guard(&self) -> RowGuard {
        RowGuard {
            key: RowKeys::ownership().to_owned(),
            revision: self.revision,
        }
    }

    /// The row with the next write number.
    pub fn next_row(&self, is_released: bool) -> OwnershipRow {
        OwnershipRow {
            write: self.row.write + 1,
            is_released,
            ..self.row.clone()
        }
    }

    /// The store write of a row.
    pub fn write_of(row: &OwnershipRow) -> RowWrite {
        RowWrite {
            key: RowKeys::ownership().to_owned(),
            value: RowCodec::encode(row),
        }
    }
}
