//! The sequence number of an entry in a cell's journal.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The sequence number of an entry in a cell's journal. The first entry has 1; 0 stands
    /// for an empty journal.
    JournalSequence(u64)
}
