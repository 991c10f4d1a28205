//! Why the list of VMs could not be read.

/// The list could not be read. Reading it changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmError {
    /// There was no whole answer.
    NoAnswer,
    /// The answer was not a list of VMs.
    BadAnswer,
}

impl std::fmt::Display for VmError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NoAnswer => "the list of VMs was not answered",
            Self::BadAnswer => "the answer is not a list of VMs",
        })
    }
}

impl std::error::Error for VmError {}
