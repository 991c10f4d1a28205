//! Results and their output format.
//!
//! A [`TimingSummary`] holds minimum, median and maximum of a repeated measurement; a
//! [`ResultTable`] prints rows as a Markdown table.

mod result_table;
mod timing_summary;

pub use result_table::ResultTable;
pub use timing_summary::TimingSummary;
pub use timing_summary::nanos_per_unit;
