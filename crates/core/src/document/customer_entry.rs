//! A `[customer NAME]` section of the document.

use crate::ResourceSize;
use crate::SectionReader;

const CPU_MAX_MILLI: u64 = 10_000_000_000;
const MEMORY_MAX_MB: u64 = 100_000_000_000;
const ACCELERATORS_MAX: u32 = 1_000_000;
const PRIORITY_DEFAULT: u32 = 100;
const PRIORITY_MAX: u32 = 10_000;
const CPU_EXPECTED: &str = "thousandths of a core from 0 to 10000000000";
const MEMORY_EXPECTED: &str = "mebibytes from 0 to 100000000000";
const ACCELERATORS_EXPECTED: &str = "a whole number of accelerators from 0 to 1000000";
const PRIORITY_EXPECTED: &str = "a whole number from 1 to 10000";

/// A `[customer NAME]` section: the quota and the priority of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerEntry {
    /// The resources that the customer's running batch tasks may use in total.
    pub quota: ResourceSize,
    /// The customer's weight when resources are scarce, from 1 to 10000 and 100 by
    /// default; a larger weight is served first.
    pub priority: u32,
}

impl CustomerEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let cpu_milli = reader.ranged("cpu_milli", None, 0..=CPU_MAX_MILLI, CPU_EXPECTED);
        let memory_mb = reader.ranged("memory_mb", None, 0..=MEMORY_MAX_MB, MEMORY_EXPECTED);
        let accelerators = reader.ranged(
            "accelerators",
            Some(0),
            0..=ACCELERATORS_MAX,
            ACCELERATORS_EXPECTED,
        );
        let priority = reader.ranged(
            "priority",
            Some(PRIORITY_DEFAULT),
            1..=PRIORITY_MAX,
            PRIORITY_EXPECTED,
        );
        reader.finish();
        let quota = ResourceSize {
            cpu_milli: cpu_milli?,
            memory_mb: memory_mb?,
            accelerators: accelerators?,
        };
        Some(Self {
            quota,
            priority: priority?,
        })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("cpu_milli", self.quota.cpu_milli.to_string()),
            ("memory_mb", self.quota.memory_mb.to_string()),
            ("accelerators", self.quota.accelerators.to_string()),
            ("priority", self.priority.to_string()),
        ]
    }
}
