//! Bodies of the platform's list of VMs.
//!
//! `GET /v1/vms` answers a JSON list of [`VmRecord`]s. The list lags; a VM that
//! was listed and no longer is, is gone. A runner's record may name a
//! [`SharedWorker`]: the worker on the same machine.

mod listed_worker;
mod shared_worker;
mod vm_kind;
mod vm_record;
mod vm_state;

pub use shared_worker::SharedWorker;
pub use vm_kind::VmKind;
pub use vm_record::VmRecord;
pub use vm_state::VmState;
