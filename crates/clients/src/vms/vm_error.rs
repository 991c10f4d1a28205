//! Errors of reading the list of VMs.

/// Why the list could not be read. Reading has no side effects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmError {
    /// There was no complete response with an expected status.
    NoResponse,
    /// The response is not a valid list of VMs.
    InvalidResponse,
}

impl std::fmt::Display for VmError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NoResponse => "no complete response to the request for the list of VMs",
            Self::InvalidResponse => "the response is not a valid list of VMs",
        })
    }
}

impl std::error::Error for VmError {}
