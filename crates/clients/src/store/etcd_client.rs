//! The store behind the JSON gateway of the etcd v3 API.

use std::time::Duration;

use error_stack::Report;
use serde::Deserialize;
use serde::Serialize;

use crate::http::CallError;
use crate::http::CallLimits;
use crate::http::CallRequest;
use crate::http::HttpClient;
use crate::http::PeerAddress;
use crate::store::CommitAnswer;
use crate::store::KeyRange;
use crate::store::StoreClient;
use crate::store::StoreCommit;
use crate::store::StoreError;
use crate::store::StoreWatch;
use crate::store::StoredRange;
use crate::store::StoredRow;
use crate::store::etcd_calls::grant_call;
use crate::store::etcd_calls::is_too_large;
use crate::store::etcd_calls::txn_call;
use crate::store::etcd_calls::watch_call;
use crate::store::etcd_failure::judge_failure;
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

/// The largest answer of the store that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

const STATUS_DONE: u16 = 200;

/// A client of a store that speaks the JSON gateway of the etcd v3 API.
///
/// It repeats no call. Every call opens at most one request, but
/// [`StoreClient::watch`], which reads the rows after the change. A store that
/// takes a watch and says nothing looks like one without changes: the other
/// calls tell that it is gone.
#[derive(Clone, Debug)]
pub struct EtcdClient {
    client: HttpClient,
}

impl EtcdClient {
    /// A client of the store at `peer`. Nothing is sent yet.
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
            answer_max_bytes: ANSWER_MAX_BYTES,
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
        let answer = self
            .client
            .call(step, &CallRequest::post_json(path, &bytes))
            .map_err(change_error)?;
        if answer.status != STATUS_DONE {
            return Err(self.failed(step, judge_failure(answer.status, &answer.body)));
        }
        Ok(answer.body)
    }

    fn read_range(
        &self,
        step: &'static str,
        prefix: &str,
    ) -> Result<StoredRange, Report<StoreError>> {
        let range = KeyRange::of_prefix(prefix);
        let call = RangeRequest {
            key: Base64Bytes::from(range.first),
            range_end: Base64Bytes::from(range.end),
        };
        let body = self.call(step, "/v3/kv/range", &call)?;
        let answer: RangeResponse<'_> = self.decode(step, &body)?;
        let revision = self.revision(step, answer.header.revision)?;
        let rows = answer
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

    fn decode<'body, Answer: Deserialize<'body>>(
        &self,
        step: &'static str,
        body: &'body [u8],
    ) -> Result<Answer, Report<StoreError>> {
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
        let call = txn_call(commit).map_err(|_| self.failed(STEP, StoreError::NotRun))?;
        let body = self.call(STEP, "/v3/kv/txn", &call)?;
        let answer: TxnResponse = self.decode(STEP, &body)?;
        if !answer.succeeded {
            return Ok(CommitAnswer::Beaten);
        }
        let revision = self.revision(STEP, answer.header.revision)?;
        Ok(CommitAnswer::Done(revision))
    }

    fn watch(
        &self,
        watch: &StoreWatch<'_>,
        wait: Duration,
    ) -> Result<Option<StoredRange>, Report<StoreError>> {
        const STEP: &str = "watch rows";
        let call = watch_call(watch).map_err(|_| self.failed(STEP, StoreError::NotRun))?;
        let bytes = self.encode(STEP, &call)?;
        let request = CallRequest::post_json("/v3/watch", &bytes);
        let stream = self.client.call_lines(STEP, &request, wait);
        let Some(mut reader) = stream.map_err(change_error)? else {
            return Ok(None);
        };
        while let Some(line) = reader.next_line().map_err(change_error)? {
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
        let body = self.call(STEP, "/v3/lease/grant", &grant_call(ttl))?;
        let answer: LeaseResponse = self.decode(STEP, &body)?;
        match answer.lease.get() {
            0 => Err(self.failed(STEP, StoreError::Unknown)),
            lease => Ok(lease),
        }
    }

    fn keep_lease(&self, lease: i64) -> Result<bool, Report<StoreError>> {
        const STEP: &str = "renew lease";
        let call = KeepAliveRequest {
            lease: DecimalNumber::new(lease),
        };
        let body = self.call(STEP, "/v3/lease/keepalive", &call)?;
        let line: StreamLine<LeaseResponse> = self.decode(STEP, &body)?;
        Ok(line.result.ttl_seconds.get() > 0)
    }
}

fn change_error(report: Report<CallError>) -> Report<StoreError> {
    let outcome = match report.current_context() {
        CallError::NotSent => StoreError::NotRun,
        CallError::Unknown => StoreError::Unknown,
    };
    report.change_context(outcome)
}
