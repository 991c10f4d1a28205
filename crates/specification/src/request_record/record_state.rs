//! The whole state of one key.

use crate::request_record::entry_try::EntryTry;
use crate::request_record::record_owner::RecordOwner;

/// The tries of one caller.
pub(crate) const TRIES: usize = 2;
/// The owners that the cell may have.
pub(crate) const OWNERS: usize = 2;

/// Journal, owners, tries and runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordState {
    pub(crate) next: u8,
    pub(crate) owner: u8,
    pub(crate) record: Option<u8>,
    pub(crate) owners: [RecordOwner; OWNERS],
    pub(crate) tries: [EntryTry; TRIES],
    pub(crate) runs: u8,
    pub(crate) claims: u8,
    pub(crate) retries: u8,
}

impl RecordState {
    pub(crate) const fn owner_mut(&mut self, owner: u8) -> &mut RecordOwner {
        &mut self.owners[owner as usize]
    }

    pub(crate) const fn entry_mut(&mut self, entry: u8) -> &mut EntryTry {
        &mut self.tries[entry as usize]
    }
}
