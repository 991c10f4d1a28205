//! The worker on a runner's machine.

use serde::Deserialize;
use serde::Serialize;

use crate::vms::listed_worker::ListedWorker;
use sapphirestile_core::WorkerName;

/// The worker on the same machine as a runner, as given by the list of VMs.
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
    /// The list names none.
    #[default]
    Unknown,
    /// The worker with this name.
    Named(WorkerName),
    /// The list has a value that is not a worker name, for the given reason.
    Invalid(String),
}

impl SharedWorker {
    /// Whether no valid worker is named; the field is then omitted when encoding.
    #[must_use]
    pub const fn is_unnamed(&self) -> bool {
        self.name().is_none()
    }

    /// Returns the worker's name if a valid one is given.
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
            ListedWorker::Other(_) => Self::Invalid("expected a string".to_owned()),
        }
    }
}

impl From<SharedWorker> for Option<String> {
    fn from(shared: SharedWorker) -> Self {
        shared.name().map(ToString::to_string)
    }
}
