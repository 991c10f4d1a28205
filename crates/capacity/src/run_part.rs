//! Runs one part of the measurements.

use crate::CapacityOptions;
use crate::CapacityPart;
use crate::ResultTable;
use crate::SizeSelection;
use crate::fleet::measure_fleet;
use crate::memory::memory_growth;
use crate::messages::message_sizes;
use crate::processor::processor_times;
use crate::sessions::busy_worker_bytes;
use crate::sessions::session_bytes;
use crate::sessions::session_loads;

/// Runs the part that `options` names, and returns its tables.
///
/// # Panics
///
/// When the part `fleet` cannot start its daemons, a stand-in cannot be started or reached,
/// `/proc` cannot be read, or the part `processor` has no rounds.
#[must_use]
pub fn run_part(options: &CapacityOptions) -> Vec<ResultTable> {
    match options.part {
        CapacityPart::Messages => message_sizes(SizeSelection::All),
        CapacityPart::Processor => processor_times(options.rounds),
        CapacityPart::Memory => memory_growth(),
        CapacityPart::Sessions => vec![session_bytes(), busy_worker_bytes(), session_loads()],
        CapacityPart::Fleet => vec![measure_fleet(options)],
    }
}
