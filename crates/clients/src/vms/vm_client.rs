//! Reads the platform's list of VMs.

use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;

use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HeaderView;
use crate::http::HttpAnswer;
use crate::http::HttpClient;
use crate::http::PeerAddress;
use crate::vms::ListTag;
use crate::vms::VmError;
use crate::vms::VmListing;
use crate::vms::body_coding::BodyCoding;
use sapphirestile_core::StepError;
use sapphirestile_wire::vms::VmRecord;

/// The largest list of VMs that is read, in bytes, also once it is unpacked.
pub const VM_LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

const STEP: &str = "read list of VMs";
const STATUS_WHOLE: u16 = 200;
const STATUS_UNCHANGED: u16 = 304;

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

    /// Reads the whole list, which lags behind the VMs.
    ///
    /// # Errors
    ///
    /// As [`VmClient::read`].
    pub fn list(&self) -> Result<Vec<VmRecord>, Report<VmError>> {
        match self.read(None)? {
            VmListing::Whole { records, .. } => Ok(records),
            VmListing::Unchanged => Err(self.failed(VmError::NoAnswer)),
        }
    }

    /// Reads the list unless it is the one called `known`. A platform that knows
    /// neither tags nor compression answers with the whole list.
    ///
    /// # Errors
    ///
    /// [`VmError::NoAnswer`] without a whole answer of status 200, or 304 to a
    /// `known` list, and [`VmError::BadAnswer`] when any row of it is not a VM: half
    /// a list would show VMs as gone.
    pub fn read(&self, known: Option<&ListTag>) -> Result<VmListing, Report<VmError>> {
        let compressed = HeaderView {
            name: "accept-encoding",
            value: b"gzip",
        };
        let changed = known.map(|tag| HeaderView {
            name: "if-none-match",
            value: tag.as_bytes(),
        });
        let headers: Vec<HeaderView<'_>> = std::iter::once(compressed).chain(changed).collect();
        let request = CallRequest {
            headers: &headers,
            ..CallRequest::get("/v1/vms")
        };
        let answer = self
            .client
            .call(STEP, &request)
            .change_context(VmError::NoAnswer)?;
        match answer.status {
            STATUS_WHOLE => self.whole(&answer),
            STATUS_UNCHANGED if known.is_some() => Ok(VmListing::Unchanged),
            _ => Err(self.failed(VmError::NoAnswer)),
        }
    }

    fn whole(&self, answer: &HttpAnswer) -> Result<VmListing, Report<VmError>> {
        let body = BodyCoding::of(answer)
            .decode(&answer.body, VM_LIST_MAX_BYTES)
            .map_err(|error| self.bad(Report::new(error)))?;
        let records =
            serde_json::from_slice(&body).map_err(|error| self.bad(Report::new(error)))?;
        let tag = ListTag::of(answer);
        Ok(VmListing::Whole { records, tag })
    }

    fn bad<E>(&self, report: Report<E>) -> Report<VmError>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        report
            .change_context(self.step())
            .change_context(VmError::BadAnswer)
    }

    fn failed(&self, error: VmError) -> Report<VmError> {
        Report::new(self.step()).change_context(error)
    }

    fn step(&self) -> StepError {
        StepError::new(STEP, &self.client.peer().to_string())
    }
}
