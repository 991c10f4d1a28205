//! Bodies of the platform's list of VMs.
//!
//! `GET /v1/vms` answers a JSON list of [`VmRecord`]s. The list lags; a VM that
//! was listed and no longer is, is gone.

mod vm_kind;
mod vm_record;
mod vm_state;

pub use vm_kind::VmKind;
pub use vm_record::VmRecord;
pub use vm_state::VmState;
