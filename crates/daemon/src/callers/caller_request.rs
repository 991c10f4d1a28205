//! A caller's request.

use oxhttp::model::Body;
use oxhttp::model::Request;

use crate::callers::CallerReply;
use crate::serving::read_body;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_core::RequestKey;
use sapphirestile_routing::RequestPriority;

const KEY_HEADER: &str = "idempotency-key";
const PRIORITY_HEADER: &str = "x-priority";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const KEY_ERROR: &str = "an idempotency key has 1 to 128 visible ASCII characters";
const DEADLINE_ERROR: &str = "a deadline is a number of milliseconds";

/// A caller's request with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    method: String,
    target: String,
    service: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl CallerRequest {
    /// Reads a request whose body has at most `max_body_bytes` bytes.
    ///
    /// # Errors
    ///
    /// The reply to the caller if the body is too long, arrives too slowly or is cut off.
    pub fn read(request: &mut Request<Body>, max_body_bytes: usize) -> Result<Self, CallerReply> {
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let (method, target) = (request.method().to_string(), target.to_owned());
        let path = request.uri().path();
        let service = path
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or("")
            .to_owned();
        let headers = request
            .headers()
            .iter()
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect();
        let body =
            read_body(request.body_mut(), max_body_bytes).map_err(CallerReply::from_body_error)?;
        Ok(Self {
            method,
            target,
            service,
            headers,
            body,
        })
    }

    /// The HTTP method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.method
    }

    /// The path and the query.
    #[must_use]
    pub fn target(&self) -> &str {
        &self.target
    }

    /// The name of the service, which is the first segment of the path; may be empty.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The headers, with one entry for each value of a repeated header.
    #[must_use]
    pub fn headers(&self) -> Vec<HeaderView<'_>> {
        let views = self.headers.iter();
        views
            .map(|(name, value)| HeaderView { name, value })
            .collect()
    }

    /// The complete body.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The idempotency key that the caller sets, if any.
    ///
    /// # Errors
    ///
    /// The reply to the caller if the key is invalid or given more than once.
    pub fn key(&self) -> Result<Option<RequestKey>, CallerReply> {
        let bad_request = || CallerReply::BadRequest(KEY_ERROR);
        let text = self.single_value(KEY_HEADER).map_err(|()| bad_request())?;
        text.map(|text| RequestKey::try_from(text).map_err(|_| bad_request()))
            .transpose()
    }

    /// The deadline that the caller sets, in milliseconds from now, if any.
    ///
    /// # Errors
    ///
    /// The reply to the caller if the value is not a number or given more than once.
    pub fn deadline_ms(&self) -> Result<Option<u64>, CallerReply> {
        let bad_request = || CallerReply::BadRequest(DEADLINE_ERROR);
        let text = self
            .single_value(DEADLINE_HEADER)
            .map_err(|()| bad_request())?;
        text.map(|text| text.parse().map_err(|_| bad_request()))
            .transpose()
    }

    /// The priority that the caller sets; [`RequestPriority::Standard`] without a known one.
    #[must_use]
    pub fn priority(&self) -> RequestPriority {
        match self.header(PRIORITY_HEADER) {
            Some("interactive") => RequestPriority::Interactive,
            Some("bulk") => RequestPriority::Bulk,
            _ => RequestPriority::Standard,
        }
    }

    fn header(&self, wanted: &'static str) -> Option<&str> {
        self.values(wanted)
            .next()
            .and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The value of the header `wanted`, if it is present.
    ///
    /// # Errors
    ///
    /// If the header occurs more than once or is not UTF-8.
    fn single_value(&self, wanted: &'static str) -> Result<Option<&str>, ()> {
        let mut values = self.values(wanted);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(());
        }
        std::str::from_utf8(value).map(Some).map_err(|_| ())
    }

    fn values(&self, wanted: &'static str) -> impl Iterator<Item = &[u8]> {
        let headers = self.headers.iter();
        headers
            .filter(move |(name, _)| name == wanted)
            .map(|(_, value)| value.as_slice())
    }
}
