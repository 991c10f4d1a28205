//! The head row of an owner.

use crate::ports::RowGuard;
use crate::ports::RowWrite;
use crate::store::HeadRow;
use crate::store::RowCodec;
use crate::store::RowKeys;

/// The head row as its owner wrote it last.
#[derive(Clone, Debug)]
pub struct OwnedHead {
    /// The row.
    pub row: HeadRow,
    /// The revision of the row in the store.
    pub revision: u64,
}

impl OwnedHead {
    /// The condition that nobody else has written the row.
    pub fn guard(&self) -> RowGuard {
        RowGuard {
            key: RowKeys::head().to_owned(),
            revision: self.revision,
        }
    }

    /// The row with a new number.
    pub fn next_row(&self, is_released: bool) -> HeadRow {
        HeadRow {
            write: self.row.write + 1,
            is_released,
            ..self.row.clone()
        }
    }

    /// The write of a row.
    pub fn write_of(row: &HeadRow) -> RowWrite {
        RowWrite {
            key: RowKeys::head().to_owned(),
            value: RowCodec::encode(row),
        }
    }
}
