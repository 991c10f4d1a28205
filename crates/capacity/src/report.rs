//! What is printed.
//!
//! A [`TimeSample`] holds the spread of a repeated measurement; a
//! [`ResultTable`] prints rows as a table of the pages.

mod result_table;
mod time_sample;

pub use result_table::ResultTable;
pub use time_sample::TimeSample;
pub use time_sample::nanos_of;
