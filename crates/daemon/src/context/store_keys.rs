//! The keys of the store.

use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;

/// Where things stand in the store.
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
    /// What every daemon watches.
    pub const SHARED: &'static str = "sapphirestile/shared/";
    /// The operators' document.
    pub const DOCUMENT: &'static str = "sapphirestile/shared/document";
    /// The ledger of tokens.
    pub const LEDGER: &'static str = "sapphirestile/shared/tokens";
    /// The registrations of daemons.
    pub const MEMBERS: &'static str = "sapphirestile/shared/members/";

    /// The registration of one daemon.
    #[must_use]
    pub fn member(daemon: &str) -> String {
        format!("{}{daemon}", Self::MEMBERS)
    }

    /// Everything of a cell.
    #[must_use]
    pub fn cell(cell: CellNumber) -> String {
        format!("sapphirestile/cells/{:05}/", cell.get())
    }

    /// The row that every entry of a cell's journal replaces.
    #[must_use]
    pub fn head(cell: CellNumber) -> String {
        format!("{}head", Self::cell(cell))
    }

    /// A cell's snapshot.
    #[must_use]
    pub fn snapshot(cell: CellNumber) -> String {
        format!("{}snapshot", Self::cell(cell))
    }

    /// An entry of a cell's journal; keys sort as their places do.
    #[must_use]
    pub fn entry(cell: CellNumber, sequence: JournalSequence) -> String {
        format!("{}journal/{:020}", Self::cell(cell), sequence.get())
    }
}
