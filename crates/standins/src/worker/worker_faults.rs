//! Faults that can be injected into a worker.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ResourceSize;

/// Faults that can be injected into a worker, also as JSON with `POST /faults`. Fields that
/// are left out are reset to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether every attempt fails as soon as it is started.
    pub fail_all: bool,
    /// Whether every start is refused with
    /// [`WorkerRefusal::Leaving`](sapphirestile_wire::worker::WorkerRefusal::Leaving).
    pub refuse: bool,
    /// The delay of each call before it has any effect, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next calls are carried out, but get no response: the connection is
    /// closed.
    pub lose_answers: u64,
    /// The usage reported for every attempt; `None` to report the simulated usage.
    pub used_size: Option<ResourceSize>,
    /// The actual run time of attempts started from now on, in thousandths of the declared one;
    /// `None` for the declared run time.
    pub run_permille: Option<u64>,
}
