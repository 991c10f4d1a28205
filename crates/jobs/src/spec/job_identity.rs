//! Identity of a job, chosen by its caller.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::JobSpecError;

/// Length of an identity, in hexadecimal digits.
const DIGITS: usize = 16;

/// Sixteen hexadecimal digits by which the caller identifies its job.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::JobIdentity;
///
/// let identity = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// assert_eq!(identity.as_str(), "5c0e7a21d94b36f8");
/// assert!(JobIdentity::try_from("5c0e").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobIdentity([u8; DIGITS]);

impl JobIdentity {
    /// The sixteen digits, in the case that the caller wrote.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl TryFrom<&str> for JobIdentity {
    type Error = JobSpecError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let digits: [u8; DIGITS] = text
            .as_bytes()
            .try_into()
            .map_err(|_| JobSpecError::Identity)?;
        if digits.iter().all(u8::is_ascii_hexdigit) {
            Ok(Self(digits))
        } else {
            Err(JobSpecError::Identity)
        }
    }
}

impl std::fmt::Display for JobIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
