//! One version of the list of VMs.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::Write;

use flate2::Compression;
use flate2::write::GzEncoder;

use sapphirestile_core::MonoTime;
use sapphirestile_wire::vms::VmRecord;

/// One version of the list, with the bodies that it is served as.
#[derive(Clone, Debug)]
pub struct VmVersion {
    /// Since when it stands.
    pub since: MonoTime,
    /// The VMs.
    pub records: Vec<VmRecord>,
    /// The list as JSON.
    pub body: Vec<u8>,
    /// The body, compressed.
    pub packed: Vec<u8>,
    /// What it is called in headers.
    pub tag: String,
}

impl VmVersion {
    /// A version that stands since `since`.
    ///
    /// # Panics
    ///
    /// When the list cannot be written as JSON.
    #[must_use]
    pub fn new(since: MonoTime, records: Vec<VmRecord>) -> Self {
        let body = serde_json::to_vec(&records).expect("a list is written as JSON");
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        Self {
            since,
            records,
            packed: pack(&body),
            body,
            tag: format!("\"{:016x}\"", hasher.finish()),
        }
    }
}

fn pack(body: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    written.expect("a body in memory is compressed")
}
