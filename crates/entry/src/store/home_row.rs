//! The row that says which cell has a job.

use sapphirestile_core::CellNumber;

use crate::store::RowCodec;

/// The row that says which cell has a job. It is the only one that every submission of the
/// job has to create, whichever cell it chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeRow {
    /// The cell, whose owner removes the row at the end of the retention.
    pub cell: CellNumber,
    /// Whether the job was cancelled before it was stored, and so never will be.
    pub is_cancelled_early: bool,
}

impl HomeRow {
    /// The row of a job that is stored in `cell`.
    #[must_use]
    pub const fn stored(cell: CellNumber) -> Self {
        Self {
            cell,
            is_cancelled_early: false,
        }
    }

    /// The row of a job that was cancelled before it was stored.
    #[must_use]
    pub const fn cancelled_early(cell: CellNumber) -> Self {
        Self {
            cell,
            is_cancelled_early: true,
        }
    }

    /// Encodes the row. That of a stored job is as earlier versions wrote it; they read the
    /// cell of either.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_entry::HomeRow;
    ///
    /// let row = HomeRow::cancelled_early(CellNumber::new(3));
    /// assert_eq!(HomeRow::decode(&row.encode()), Some(row));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut value = RowCodec::encode(&self.cell);
        if self.is_cancelled_early {
            value.extend(RowCodec::encode(&true));
        }
        value
    }

    /// Decodes a row of this or of an earlier version; `None` when it is malformed.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let (cell, rest) = RowCodec::decode_first(value)?;
        let is_cancelled_early = !rest.is_empty() && RowCodec::decode(rest)?;
        Some(Self {
            cell,
            is_cancelled_early,
        })
    }
}
