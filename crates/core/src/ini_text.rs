//! Parsing of INI text into validated values, with all faults reported at once.
//!
//! [`ParsedIni`] rejects lines that are not valid INI. [`SectionReader`] reads the keys
//! of one section and adds each fault to a list of [`IniFault`]s. Both the operators'
//! document and the daemon's settings are read this way.

mod ini_fault;
mod parsed_ini;
mod section_reader;

pub use ini_fault::IniFault;
pub use parsed_ini::INI_BYTES_MAX;
pub use parsed_ini::ParsedIni;
pub use section_reader::SectionReader;
