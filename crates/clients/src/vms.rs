//! A client of the platform's list of VMs.
//!
//! A [`VmClient`] reads the list as a [`ListUpdate`]. When the request names the
//! [`ListTag`] of the last list, a platform need not send an unchanged list again. A
//! failed read is a [`VmError`].

mod body_coding;
mod list_tag;
mod list_update;
mod vm_client;
mod vm_error;

pub use list_tag::ListTag;
pub use list_update::ListUpdate;
pub use vm_client::VM_LIST_MAX_BYTES;
pub use vm_client::VmClient;
pub use vm_error::VmError;
