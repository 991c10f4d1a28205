//! Reads the platform's list of VMs.

use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpClient;
use crate::http::PeerAddress;
use crate::vms::VmError;
use sapphirestile_core::StepError;
use sapphirestile_wire::vms::VmRecord;

/// The largest list of VMs that is read, in bytes.
pub const VM_LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

const STEP: &str = "read list of VMs";

/// A client of the platform's list of VMs.
#[derive(Clone, Debug)]
pub struct VmClient {
    client: HttpClient,
}

impl VmClient {
    /// A client of the list at `peer`. Nothing is sent yet.
    #[must_use]
    pub fn new(peer: PeerAddress, timeout: Duration) -> Self {
        let limits = CallLimits {
            timeout,
            answer_max_bytes: VM_LIST_MAX_BYTES,
        };
        Self {
            client: HttpClient::new(peer, limits),
        }
    }

    /// Reads the list, which lags behind the VMs.
    ///
    /// # Errors
    ///
    /// [`VmError::NoAnswer`] without a whole answer of status 200, and
    /// [`VmError::BadAnswer`] when any row of it is not a VM: half a list
    /// would show VMs as gone.
    pub fn list(&self) -> Result<Vec<VmRecord>, Report<VmError>> {
        let answer = self
            .client
            .call(STEP, &CallRequest::get("/v1/vms"))
            .change_context(VmError::NoAnswer)?;
        if answer.status != 200 {
            return Err(self.failed(VmError::NoAnswer));
        }
        serde_json::from_slice(&answer.body).map_err(|error| {
            Report::new(error)
                .change_context(self.step())
                .change_context(VmError::BadAnswer)
        })
    }

    fn failed(&self, error: VmError) -> Report<VmError> {
        Report::new(self.step()).change_context(error)
    }

    fn step(&self) -> StepError {
        StepError::new(STEP, &self.client.peer().to_string())
    }
}
