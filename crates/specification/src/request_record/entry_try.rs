//! One try of a caller.

use crate::request_record::runner_call::RunnerCall;
use crate::request_record::try_phase::TryPhase;

/// A try at one entry daemon, with the answers on their way to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryTry {
    /// How far it has come.
    pub phase: TryPhase,
    /// Its call to the runner.
    pub call: RunnerCall,
    /// Whether the owner granted the record; may arrive late and again.
    pub granted: bool,
    /// Whether the owner said that the record is another try's.
    pub refused: bool,
}
