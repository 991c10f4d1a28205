//! The platform's list of VMs.
//!
//! A [`VmPoller`] reads the list once a second into a [`VmTable`].

mod vm_poller;
mod vm_table;

pub use vm_poller::VmPoller;
pub use vm_table::VmTable;
