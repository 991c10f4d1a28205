//! Which worker shares a runner's machine.

use serde::Deserialize;
use serde::Serialize;

use crate::vms::listed_worker::ListedWorker;
use sapphirestile_core::WorkerName;

/// Which worker shares a runner's machine, as far as the list of VMs says.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::vms::SharedWorker;
///
/// let read = |text| serde_json::from_str::<SharedWorker>(text).unwrap();
/// assert_eq!(read("\"worker-1\"").name().unwrap().as_str(), "worker-1");
/// assert_eq!(read("null"), SharedWorker::Unknown);
/// assert!(matches!(read("[1]"), SharedWorker::Invalid(_)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ListedWorker", into = "Option<String>")]
pub enum SharedWorker {
    /// The list does not say.
    #[default]
    Unknown,
    /// This worker.
    Named(WorkerName),
    /// The list says something that names no worker, for this reason.
    Invalid(String),
}

impl SharedWorker {
    /// Whether no worker is named.
    #[must_use]
    pub const fn is_unnamed(&self) -> bool {
        self.name().is_none()
    }

    /// The worker, when one is named.
    #[must_use]
    pub const fn name(&self) -> Option<&WorkerName> {
        match self {
            Self::Named(worker) => Some(worker),
            Self::Unknown | Self::Invalid(_) => None,
        }
    }
}

impl From<ListedWorker> for SharedWorker {
    fn from(listed: ListedWorker) -> Self {
        match listed {
            ListedWorker::Absent(()) => Self::Unknown,
            ListedWorker::Text(text) => match WorkerName::try_from(text.as_str()) {
                Ok(worker) => Self::Named(worker),
                Err(fault) => Self::Invalid(fault.to_string()),
            },
            ListedWorker::Other(_) => Self::Invalid("not a text".to_owned()),
        }
    }
}

impl From<SharedWorker> for Option<String> {
    fn from(shared: SharedWorker) -> Self {
        shared.name().map(ToString::to_string)
    }
}
