//! Which part to measure.

/// Which part to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPart {
    /// Sizes of encoded messages.
    Messages,
    /// Processor time of decisions and codecs.
    Processor,
    /// Memory of tables.
    Memory,
    /// Sessions with workers: bytes on the wire, threads.
    Sessions,
    /// Real daemons on stand-ins.
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
