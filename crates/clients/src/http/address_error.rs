//! The error of parsing a peer address.

/// A string that is not an IP address and a port other than 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressError {
    text: Box<str>,
}

impl AddressError {
    pub(crate) fn new(text: &str) -> Self {
        Self { text: text.into() }
    }
}

impl std::fmt::Display for AddressError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not an IP address and a nonzero port, such as 127.0.0.1:2379",
            self.text
        )
    }
}

impl std::error::Error for AddressError {}
