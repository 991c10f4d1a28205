//! One version of a list of VMs.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io::Write;

use flate2::Compression;
use flate2::write::GzEncoder;

use sapphirestile_core::MonoTime;
use sapphirestile_wire::vms::VmRecord;

/// One version of a list of VMs, encoded once for all its readers.
#[derive(Clone, Debug)]
pub struct VmListVersion {
    /// When it replaced the version before, on the stand-in's clock.
    pub published: MonoTime,
    /// The VMs of the list, in the order given.
    pub records: Vec<VmRecord>,
    /// The list serialized as JSON: the response body without compression.
    pub body: Vec<u8>,
    /// The body, compressed with gzip.
    pub gzip_body: Vec<u8>,
    /// The value of the `etag` header: the quoted hash of the body.
    pub etag: String,
}

impl VmListVersion {
    /// Encodes a version that is published at `published`.
    ///
    /// # Panics
    ///
    /// When the list cannot be serialized as JSON.
    #[must_use]
    pub fn new(published: MonoTime, records: Vec<VmRecord>) -> Self {
        let body = serde_json::to_vec(&records).expect("serialize a list of VMs as JSON");
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        Self {
            published,
            records,
            gzip_body: compress(&body),
            body,
            etag: format!("\"{:016x}\"", hasher.finish()),
        }
    }
}

fn compress(body: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    written.expect("compress a body in memory")
}
