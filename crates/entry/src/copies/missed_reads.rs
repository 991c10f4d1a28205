//! Reads that found no copy of a version.

/// The reads that found no readable copy of one version, in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct MissedReads {
    revision: u64,
    reads: u64,
}

impl MissedReads {
    /// Counts another read, and returns the number of those of the same version.
    pub const fn count(&mut self, revision: u64) -> u64 {
        if self.revision != revision {
            self.revision = revision;
            self.reads = 0;
        }
        self.reads += 1;
        self.reads
    }
}
