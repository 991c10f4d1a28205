//! The client of the platform's list of VMs.

use std::time::Duration;

use error_stack::Report;

use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::DownloadOutcome;
use crate::http::HeaderView;
use crate::http::HttpClient;
use crate::http::HttpResponse;
use crate::http::PeerAddress;
use crate::vms::ListTag;
use crate::vms::ListUpdate;
use crate::vms::VmError;
use crate::vms::body_coding::BodyCoding;
use sapphirestile_core::StepError;
use sapphirestile_wire::vms::VmRecord;

/// The maximum size of the list of VMs, in bytes, both before and after decompression.
pub const VM_LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

const STEP: &str = "read list of VMs";
const STATUS_OK: u16 = 200;
const STATUS_NOT_MODIFIED: u16 = 304;

/// A client of the platform's list of VMs.
#[derive(Clone, Debug)]
pub struct VmClient {
    client: HttpClient,
}

impl VmClient {
    /// Creates a client of the list at `peer`, without connecting yet.
    #[must_use]
    pub fn new(peer: PeerAddress, timeout: Duration) -> Self {
        let limits = CallLimits {
            timeout,
            response_max_bytes: VM_LIST_MAX_BYTES,
        };
        Self {
            client: HttpClient::new(peer, limits),
        }
    }

    /// Reads the complete list, which lags behind the actual VMs.
    ///
    /// # Errors
    ///
    /// See [`VmClient::read`].
    pub fn list(&self) -> Result<Vec<VmRecord>, Report<VmError>> {
        match self.read(None)? {
            ListUpdate::Full { records, .. } => Ok(records),
            ListUpdate::Unchanged => Err(self.failed(VmError::NoResponse)),
        }
    }

    /// Reads the list unless it still has the tag `known`. A platform that supports
    /// neither tags nor compression always responds with the complete list.
    ///
    /// # Errors
    ///
    /// [`VmError::NoResponse`] without a complete response of status 200 (or 304, if `known`
    /// is given), and [`VmError::InvalidResponse`] when any entry is invalid: with a partial
    /// list, the missing VMs would be considered gone.
    pub fn read(&self, known: Option<&ListTag>) -> Result<ListUpdate, Report<VmError>> {
        let accept_gzip = HeaderView {
            name: "accept-encoding",
            value: b"gzip",
        };
        let if_changed = known.map(|tag| HeaderView {
            name: "if-none-match",
            value: tag.as_bytes(),
        });
        let headers: Vec<HeaderView<'_>> = std::iter::once(accept_gzip).chain(if_changed).collect();
        let request = CallRequest {
            headers: &headers,
            ..CallRequest::get("/v1/vms")
        };
        let response = match self.client.download(STEP, &request) {
            Ok(DownloadOutcome::Complete(response)) => response,
            Ok(DownloadOutcome::TooLarge) => return Err(self.failed(VmError::NoResponse)),
            Err(report) => return Err(report.change_context(VmError::NoResponse)),
        };
        match response.status {
            STATUS_OK => self.decode_list(&response),
            STATUS_NOT_MODIFIED if known.is_some() => Ok(ListUpdate::Unchanged),
            _ => Err(self.failed(VmError::NoResponse)),
        }
    }

    fn decode_list(&self, response: &HttpResponse) -> Result<ListUpdate, Report<VmError>> {
        let body = BodyCoding::of(response)
            .decode(&response.body, VM_LIST_MAX_BYTES)
            .map_err(|error| self.invalid(Report::new(error)))?;
        let records =
            serde_json::from_slice(&body).map_err(|error| self.invalid(Report::new(error)))?;
        let tag = ListTag::of(response);
        Ok(ListUpdate::Full { records, tag })
    }

    fn invalid<E>(&self, report: Report<E>) -> Report<VmError>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        report
            .change_context(self.step())
            .change_context(VmError::InvalidResponse)
    }

    fn failed(&self, error: VmError) -> Report<VmError> {
        Report::new(self.step()).change_context(error)
    }

    fn step(&self) -> StepError {
        StepError::new(STEP, &self.client.peer().to_string())
    }
}
