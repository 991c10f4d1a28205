//! Reading INI text into checked values, with every fault named at once.
//!
//! [`SectionReader`] reads the keys of one section and adds each fault to a
//! list of [`IniFault`]. The document of the operators and the settings of the
//! daemon are both read this way.

mod ini_fault;
mod section_reader;

pub use ini_fault::IniFault;
pub use section_reader::SectionReader;
