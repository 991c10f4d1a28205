//! Reading INI text into checked values, with every fault named at once.
//!
//! [`ParsedIni`] refuses lines that are no INI. [`SectionReader`] reads the keys of one section and adds each fault to a
//! list of [`IniFault`]. The document of the operators and the settings of the
//! daemon are both read this way.

mod ini_fault;
mod parsed_ini;
mod section_reader;

pub use ini_fault::IniFault;
pub use parsed_ini::INI_BYTES_MAX;
pub use parsed_ini::ParsedIni;
pub use section_reader::SectionReader;
