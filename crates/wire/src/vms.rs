//! JSON bodies of the platform's list of VMs.
//!
//! The response to `GET /v1/vms` is a JSON list of [`VmRecord`]s. The list lags behind
//! the VMs. A VM that disappears from the list no longer exists. A runner's record may
//! name its [`SharedWorker`], the worker on the same machine.

mod listed_worker;
mod shared_worker;
mod vm_kind;
mod vm_record;
mod vm_state;

pub use shared_worker::SharedWorker;
pub use vm_kind::VmKind;
pub use vm_record::VmRecord;
pub use vm_state::VmState;
