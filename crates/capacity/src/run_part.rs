//! Runs one part.

use crate::CapacityOptions;
use crate::CapacityPart;
use crate::ResultTable;
use crate::SizeScale;
use crate::fleet::fleet_rows;
use crate::memory::memory_growth;
use crate::messages::message_sizes;
use crate::processor::processor_times;
use crate::sessions::session_bytes;
use crate::sessions::session_loads;
use crate::sessions::steady_bytes;

/// Runs the chosen part and gives its tables.
///
/// # Panics
///
/// When the part `fleet` cannot start its daemons.
#[must_use]
pub fn run_part(options: &CapacityOptions) -> Vec<ResultTable> {
    match options.part {
        CapacityPart::Messages => message_sizes(SizeScale::All),
        CapacityPart::Processor => processor_times(options.rounds),
        CapacityPart::Memory => memory_growth(),
        CapacityPart::Sessions => vec![session_bytes(), steady_bytes(), session_loads()],
        CapacityPart::Fleet => vec![fleet_rows(options)],
    }
}
