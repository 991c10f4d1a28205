//! A `[service NAME]` section of the document.

use crate::SectionReader;

const SLOTS_MAX: u32 = 4_096;
const CONNECTIONS_MAX: u32 = 65_535;
const DEADLINE_DEFAULT_MS: u64 = 2_000;
const DEADLINE_MAX_MS: u64 = 600_000;
const SLOTS_EXPECTED: &str = "how many requests a runner works on at a time, from 1 to 4096";
const CONNECTIONS_EXPECTED: &str = "how many connections a runner accepts, from 1 to 65535";
const DEADLINE_EXPECTED: &str = "milliseconds from 1 to 600000";
const CONNECTIONS_MIN_EXPECTED: &str = "at least as many connections as slots";

/// A `[service NAME]` section: the settings of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The number of requests that one runner processes at a time, from 1 to 4096.
    pub slots: u32,
    /// The number of connections that one runner accepts; at least `slots`.
    pub connections: u32,
    /// The longest time that a caller waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether requests are idempotent and may be run more than once; `false` by
    /// default.
    pub idempotent: bool,
}

impl ServiceEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let slots = reader.ranged("slots", None, 1..=SLOTS_MAX, SLOTS_EXPECTED);
        let connections = reader.ranged(
            "connections",
            None,
            1..=CONNECTIONS_MAX,
            CONNECTIONS_EXPECTED,
        );
        let deadline_ms = reader.ranged(
            "deadline_ms",
            Some(DEADLINE_DEFAULT_MS),
            1..=DEADLINE_MAX_MS,
            DEADLINE_EXPECTED,
        );
        let idempotent = reader.value_or("idempotent", false, "true or false");
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            reader.fault(
                "connections",
                &connections.to_string(),
                CONNECTIONS_MIN_EXPECTED,
            );
        }
        reader.finish();
        Some(Self {
            slots: slots?,
            connections: connections?,
            deadline_ms: deadline_ms?,
            idempotent: idempotent?,
        })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("slots", self.slots.to_string()),
            ("connections", self.connections.to_string()),
            ("deadline_ms", self.deadline_ms.to_string()),
            ("idempotent", self.idempotent.to_string()),
        ]
    }
}
