//! What operators say of a service.

use crate::SectionReader;

const SLOTS_MAX: u32 = 4_096;
const CONNECTIONS_MAX: u32 = 65_535;
const DEADLINE_DEFAULT_MS: u64 = 2_000;
const DEADLINE_MAX_MS: u64 = 600_000;
const SLOTS_EXPECTED: &str = "how many requests a runner works on at a time, from 1 to 4096";
const CONNECTIONS_EXPECTED: &str = "how many connections a runner accepts, from 1 to 65535";
const DEADLINE_EXPECTED: &str = "milliseconds from 1 to 600000";
const ENOUGH_EXPECTED: &str = "at least as many connections as slots";

/// One `[service NAME]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// How many requests one runner works on at a time.
    pub slots: u32,
    /// How many connections one runner accepts.
    pub connections: u32,
    /// The time that a caller is kept waiting at most, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run twice without harm.
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
        let idempotent = reader.number_or("idempotent", false, "true or false");
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            reader.fault("connections", &connections.to_string(), ENOUGH_EXPECTED);
        }
        reader.finish();
        Some(Self {
            slots: slots?,
            connections: connections?,
            deadline_ms: deadline_ms?,
            idempotent: idempotent?,
        })
    }

    /// The keys and values of the section.
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
