//! Groups of measurements.

/// Group of measurements, as named by the flag `--part`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPart {
    /// Sizes of encoded messages, journal entries and snapshots, in bytes.
    Messages,
    /// Processor time of decisions and codecs.
    Processor,
    /// Resident memory of in-memory tables.
    Memory,
    /// Worker sessions: bytes on the wire, and threads of the daemon.
    Sessions,
    /// Three daemon processes that run against stand-ins.
    Fleet,
}

impl TryFrom<&str> for CapacityPart {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        match text {
            "messages" => Ok(Self::Messages),
            "processor" => Ok(Self::Processor),
            "memory" => Ok(Self::Memory),
            "sessions" => Ok(Self::Sessions),
            "fleet" => Ok(Self::Fleet),
            _ => Err("expected messages, processor, memory, sessions or fleet"),
        }
    }
}
