//! A store client for the JSON gateway of the etcd v3 API.

use std::time::Duration;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::DownloadOutcome;
use crate::http::HttpClient;
use crate::http::HttpResponse;
use crate::http::PeerAddress;
use crate::store::CommitAnswer;
use crate::store::KeyRange;
use crate::store::StoreClient;
use crate::store::StoreCommit;
use crate::store::StoreError;
use crate::store::StoreWatch;
use crate::store::StoredRange;
use crate::store::StoredRow;
use crate::store::etcd_failure::classify_failure;
use crate::store::etcd_requests::grant_request;
use crate::store::etcd_requests::is_too_large;
use crate::store::etcd_requests::txn_request;
use crate::store::etcd_requests::watch_request;
use sapphirestile_core::StepError;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::KeepAliveRequest;
use sapphirestile_wire::store::KeyValue;
use sapphirestile_wire::store::LeaseResponse;
use sapphirestile_wire::store::RangeRequest;
use sapphirestile_wire::store::RangeResponse;
use sapphirestile_wire::store::StreamLine;
use sapphirestile_wire::store::TxnResponse;
use sapphirestile_wire::store::WatchResponse;

/// The maximum size of a response of the store, in bytes.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

const STATUS_OK: u16 = 200;

/// A client of a store that serves the JSON gateway of the etcd v3 API.
///
/// It never retries. Every call sends at most one request, except for
/// [`StoreClient::watch`], which also reads the rows after a change. A store that accepts
/// a watch but then stops responding cannot be told from one without changes; only the
/// other calls detect that it is unreachable.
#[derive(Clone, Debug)]
pub struct EtcdClient {
    client: HttpClient,
}

impl EtcdClient {
    /// Creates a client of the store at `peer`, without connecting yet. `timeout` applies to
    /// each call.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_clients::http::PeerAddress;
    /// use sapphirestile_clients::store::EtcdClient;
    ///
    /// let peer = PeerAddress::try_from("127.0.0.1:2379").unwrap();
    /// let client = EtcdClient::new(peer, Duration::from_secs(2));
    /// # let _ = client;
    /// ```
    #[must_use]
    pub fn new(peer: PeerAddress, timeout: Duration) -> Self {
        let limits = CallLimits {
            timeout,
            response_max_bytes: RESPONSE_MAX_BYTES,
        };
        Self {
            client: HttpClient::new(peer, limits),
        }
    }

    fn call(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<u8>, Report<StoreError>> {
        let bytes = self.encode(step, body)?;
        let response = self
            .client
            .call(step, &CallRequest::post_json(path, &bytes))
            .map_err(to_store_error)?;
        self.body_of(step, response)
    }

    /// Sends a call whose response may be large for the connection.
    fn download(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Vec<u8>, Report<StoreError>> {
        let bytes = self.encode(step, body)?;
        let request = CallRequest::post_json(path, &bytes);
        match self.client.download(step, &request) {
            Ok(DownloadOutcome::Complete(response)) => self.body_of(step, response),
            Ok(DownloadOutcome::TooLarge) => Err(self.failed(step, StoreError::Unknown)),
            Err(report) => Err(to_store_error(report)),
        }
    }

    fn body_of(
        &self,
        step: &'static str,
        response: HttpResponse,
    ) -> Result<Vec<u8>, Report<StoreError>> {
        if response.status != STATUS_OK {
            return Err(self.failed(step, classify_failure(response.status, &response.body)));
        }
        Ok(response.body)
    }

    fn read_range(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> Result<StoredRange, Report<StoreError>> {
        let range = KeyRange::of_prefix(prefix);
        let request = RangeRequest {
            key: Base64Bytes::from(range.first),
            range_end: Base64Bytes::from(range.end),
        };
        let body = self.download(step, "/v3/kv/range", &request)?;
        let response: RangeResponse<'_> = self.decode(step, &body)?;
        let revision = self.revision(step, response.header.revision)?;
        let rows = response
            .kvs
            .into_iter()
            .map(|row| self.stored_row(step, row))
            .collect::<Result<_, _>>()?;
        Ok(StoredRange { revision, rows })
    }

    fn stored_row(
        &self,
        step: &'static str,
        row: KeyValue<'_>,
    ) -> Result<StoredRow, Report<StoreError>> {
        let key = String::from_utf8(row.key.into_vec())
            .map_err(|_| self.failed(step, StoreError::Unknown))?;
        Ok(StoredRow {
            key,
            value: row.value.into_vec(),
            revision: self.revision(step, row.mod_revision)?,
        })
    }

    fn revision(
        &self,
        step: &'static str,
        number: DecimalNumber,
    ) -> Result<u64, Report<StoreError>> {
        number
            .revision()
            .ok_or_else(|| self.failed(step, StoreError::Unknown))
    }

    fn encode(
        &self,
        step: &'static str,
        body: &impl Serialize,
    ) -> Result<Vec<u8>, Report<StoreError>> {
        serde_json::to_vec(body).map_err(|error| {
            Report::new(error)
                .change_context(self.step(step))
                .change_context(StoreError::NotRun)
        })
    }

    fn decode<'body, Response: Deserialize<'body>>(
        &self,
        step: &'static str,
        body: &'body [u8],
    ) -> Result<Response, Report<StoreError>> {
        serde_json::from_slice(body).map_err(|error| {
            Report::new(error)
                .change_context(self.step(step))
                .change_context(StoreError::Unknown)
        })
    }

    fn failed(&self, step: &'static str, error: StoreError) -> Report<StoreError> {
        Report::new(self.step(step)).change_context(error)
    }

    fn step(&self, step: &'static str) -> StepError {
        StepError::new(step, &self.client.peer().to_string())
    }
}

impl StoreClient for EtcdClient {
    fn read(&self, prefix: &str) -> Result<StoredRange, Report<StoreError>> {
        self.read_range("read rows", prefix)
    }

    fn commit(&self, commit: &StoreCommit<'_>) -> Result<CommitAnswer, Report<StoreError>> {
        const STEP: &str = "commit";
        if commit.writes.iter().any(is_too_large) {
            return Err(self.failed(STEP, StoreError::NotRun));
        }
        let request = txn_request(commit).map_err(|_| self.failed(STEP, StoreError::NotRun))?;
        let body = self.call(STEP, "/v3/kv/txn", &request)?;
        let response: TxnResponse = self.decode(STEP, &body)?;
        if !response.succeeded {
            return Ok(CommitAnswer::Beaten);
        }
        let revision = self.revision(STEP, response.header.revision)?;
        Ok(CommitAnswer::Done(revision))
    }

    fn watch(
        &self,
        watch: &StoreWatch<'_>,
        wait: Duration,
    ) -> Result<Option<StoredRange>, Report<StoreError>> {
        const STEP: &str = "watch rows";
        let body = watch_request(watch).map_err(|_| self.failed(STEP, StoreError::NotRun))?;
        let bytes = self.encode(STEP, &body)?;
        let request = CallRequest::post_json("/v3/watch", &bytes);
        let stream = self.client.call_lines(STEP, &request, wait);
        let Some(mut reader) = stream.map_err(to_store_error)? else {
            return Ok(None);
        };
        while let Some(line) = reader.next_line().map_err(to_store_error)? {
            let line: StreamLine<WatchResponse<'_>> = self.decode(STEP, line)?;
            if line.result.canceled {
                return Err(self.failed(STEP, StoreError::NotRun));
            }
            if !line.result.events.is_empty() {
                return self.read_range(STEP, watch.prefix).map(Some);
            }
        }
        Ok(None)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<i64, Report<StoreError>> {
        const STEP: &str = "grant lease";
        let body = self.call(STEP, "/v3/lease/grant", &grant_request(ttl))?;
        let response: LeaseResponse = self.decode(STEP, &body)?;
        match response.lease.get() {
            0 => Err(self.failed(STEP, StoreError::Unknown)),
            lease => Ok(lease),
        }
    }

    fn renew_lease(&self, lease: i64) -> Result<bool, Report<StoreError>> {
        const STEP: &str = "renew lease";
        let request = KeepAliveRequest {
            lease: DecimalNumber::new(lease),
        };
        let body = self.call(STEP, "/v3/lease/keepalive", &request)?;
        let line: StreamLine<LeaseResponse> = self.decode(STEP, &body)?;
        Ok(line.result.ttl_seconds.get() > 0)
    }
}

fn to_store_error(report: Report<CallError>) -> Report<StoreError> {
    let error = match report.current_context() {
        CallError::NotSent => StoreError::NotRun,
        CallError::Unknown => StoreError::Unknown,
    };
    report.change_context(error)
}
