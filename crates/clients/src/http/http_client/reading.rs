//! Reading of responses.

use error_stack::Report;
use ureq::Body;
use ureq::http::Method;
use ureq::http::Response;

use crate::http::CallError;
use crate::http::DownloadOutcome;
use crate::http::HttpClient;
use crate::http::HttpResponse;
use crate::http::response_framing::ResponseFraming;

impl HttpClient {
    /// Reads a response that states its length.
    pub(super) fn read_response(
        &self,
        step: &'static str,
        method: &Method,
        response: Response<Body>,
    ) -> Result<DownloadOutcome, Report<CallError>> {
        let (parts, body) = response.into_parts();
        if parts.status.is_informational() {
            return Err(self.unknown(step, "the response is informational (1xx), not final"));
        }
        let body = match ResponseFraming::of(method, &parts) {
            ResponseFraming::Ambiguous => {
                return Err(self.unknown(step, "the response has no unambiguous framing"));
            }
            ResponseFraming::Bodyless => Some(Vec::new()),
            ResponseFraming::ContentLength | ResponseFraming::Chunked => {
                self.read_body(step, body)?
            }
        };
        Ok(body.map_or(DownloadOutcome::TooLarge, |body| {
            DownloadOutcome::Complete(HttpResponse {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            })
        }))
    }

    /// Reads the body; `None` when it exceeds the size limit.
    fn read_body(
        &self,
        step: &'static str,
        body: Body,
    ) -> Result<Option<Vec<u8>>, Report<CallError>> {
        let max_bytes = self.limits.response_max_bytes as u64;
        if body
            .content_length()
            .is_some_and(|length| length > max_bytes)
        {
            return Ok(None);
        }
        match body.into_with_config().limit(max_bytes).read_to_vec() {
            Ok(body) => Ok(Some(body)),
            Err(ureq::Error::BodyExceedsLimit(_)) => Ok(None),
            Err(error) => Err(self.failed(step, Report::new(error), CallError::Unknown)),
        }
    }
}
