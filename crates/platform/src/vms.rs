//! The platform's list of VMs.
//!
//! A [`VmClient`] reads the list; a failed read is a [`VmError`].

mod vm_client;
mod vm_error;

pub use vm_client::VM_LIST_MAX_BYTES;
pub use vm_client::VmClient;
pub use vm_error::VmError;
