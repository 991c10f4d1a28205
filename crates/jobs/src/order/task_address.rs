//! The name of one task.

use serde::Deserialize;
use serde::Serialize;

use crate::order::JobIdentity;
use crate::order::OrderFault;

/// One task of a job.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::TaskAddress;
///
/// let address = TaskAddress::try_from("5c0e7a21d94b36f8.0.1.17").unwrap();
/// assert_eq!((address.occurrence, address.step, address.index), (0, 1, 17));
/// assert_eq!(address.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// assert!(TaskAddress::try_from("5c0e7a21d94b36f8.0.1").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskAddress {
    /// The job.
    pub job: JobIdentity,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The number within the step, from 0.
    pub index: u32,
}

impl TryFrom<&str> for TaskAddress {
    type Error = OrderFault;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(OrderFault::Address)?;
        let mut number = || -> Result<u32, OrderFault> {
            let part = parts.next().ok_or(OrderFault::Address)?;
            part.parse().map_err(|_| OrderFault::Address)
        };
        let address = Self {
            job: JobIdentity::try_from(job)?,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(address),
            Some(_) => Err(OrderFault::Address),
        }
    }
}

impl std::fmt::Display for TaskAddress {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}
