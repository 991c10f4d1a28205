//! Why a text is not the address of a peer.

/// A text that is not an IP number and a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressFault {
    text: Box<str>,
}

impl AddressFault {
    pub(crate) fn new(text: &str) -> Self {
        Self { text: text.into() }
    }
}

impl std::fmt::Display for AddressFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not an IP number and a port, such as 127.0.0.1:2379",
            self.text
        )
    }
}

impl std::error::Error for AddressFault {}
