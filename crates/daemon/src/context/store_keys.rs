//! The keys of the daemons' rows in the store.

use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;

/// The keys of the daemons' rows in the store.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_daemon::context::StoreKeys;
///
/// assert_eq!(StoreKeys::head(CellNumber::new(3)), "sapphirestile/cells/00003/head");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys;

impl StoreKeys {
    /// The prefix of the rows that every daemon watches.
    pub const SHARED: &'static str = "sapphirestile/shared/";
    /// The row of the operators' document.
    pub const DOCUMENT: &'static str = "sapphirestile/shared/document";
    /// The row of the token ledger.
    pub const LEDGER: &'static str = "sapphirestile/shared/tokens";
    /// The prefix of the daemons' registrations.
    pub const MEMBERS: &'static str = "sapphirestile/shared/members/";

    /// The row of the registration of `daemon`.
    #[must_use]
    pub fn member(daemon: &str) -> String {
        format!("{}{daemon}", Self::MEMBERS)
    }

    /// The prefix of all rows of a cell.
    #[must_use]
    pub fn cell(cell: CellNumber) -> String {
        format!("sapphirestile/cells/{:05}/", cell.get())
    }

    /// The head row of a cell, which every commit to the cell's journal rewrites.
    #[must_use]
    pub fn head(cell: CellNumber) -> String {
        format!("{}head", Self::cell(cell))
    }

    /// The row of a cell's snapshot.
    #[must_use]
    pub fn snapshot(cell: CellNumber) -> String {
        format!("{}snapshot", Self::cell(cell))
    }

    /// The row of an entry of a cell's journal. The number is padded, so that keys sort
    /// in the order of the entries.
    #[must_use]
    pub fn entry(cell: CellNumber, sequence: JournalSequence) -> String {
        format!("{}journal/{:020}", Self::cell(cell), sequence.get())
    }
}
