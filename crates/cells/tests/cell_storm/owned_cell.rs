//! A cell in the hands of a daemon.

use crate::flight_try::FlightTry;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::OpenPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RequestKey;

/// What the keeper of a cell holds.
pub struct OwnedCell {
    pub owner: CellOwner<OpenPhase>,
    pub head: u64,
    pub flight: Option<FlightTry>,
    /// Submitters that wait for an entry to be in the journal.
    pub jobs: Vec<(JournalSequence, JobName)>,
    /// Requests to send once their record is in the journal.
    pub keys: Vec<(JournalSequence, RequestKey)>,
    pub committed: MonoTime,
    /// The configuration that the list of workers was made with.
    pub config: usize,
    pub beaten: Option<usize>,
}
