//! The platform's VMs.
//!
//! A [`VmPoller`] reads the list several times a minute into a [`VmTable`].

mod vm_poller;
mod vm_table;

pub use vm_poller::VmPoller;
pub use vm_table::VmTable;
