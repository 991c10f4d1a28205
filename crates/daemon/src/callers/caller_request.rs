//! A caller's request, checked.

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
const KEY_FAULT: &str = "an idempotency key has 1 to 128 visible ASCII characters";
const DEADLINE_FAULT: &str = "a deadline is a number of milliseconds";

/// A caller's request with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    method: String,
    target: String,
    service: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl CallerRequest {
    /// Reads a request, whose body may have up to `body_max` bytes.
    ///
    /// # Errors
    ///
    /// The reply that refuses it.
    pub fn read(request: &mut Request<Body>, body_max: usize) -> Result<Self, CallerReply> {
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
        let body = read_body(request.body_mut(), body_max).map_err(CallerReply::of_body)?;
        Ok(Self {
            method,
            target,
            service,
            headers,
            body,
        })
    }

    /// The method.
    #[must_use]
    pub fn method(&self) -> &str {
        &self.method
    }

    /// The path and query.
    #[must_use]
    pub fn target(&self) -> &str {
        &self.target
    }

    /// The service: the first segment of the path.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.service
    }

    /// The headers.
    #[must_use]
    pub fn headers(&self) -> Vec<HeaderView<'_>> {
        let views = self.headers.iter();
        views
            .map(|(name, value)| HeaderView { name, value })
            .collect()
    }

    /// The body.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The caller's idempotency key.
    ///
    /// # Errors
    ///
    /// The reply that refuses a key which is not valid, or a second one.
    pub fn key(&self) -> Result<Option<RequestKey>, CallerReply> {
        let fault = || CallerReply::BadRequest(KEY_FAULT);
        let text = self.sole_text(KEY_HEADER).map_err(|()| fault())?;
        text.map(|text| RequestKey::try_from(text).map_err(|_| fault()))
            .transpose()
    }

    /// How long the caller waits at most, in milliseconds, if it says so.
    ///
    /// # Errors
    ///
    /// The reply that refuses what is no such number, or a second one.
    pub fn deadline_ms(&self) -> Result<Option<u64>, CallerReply> {
        let fault = || CallerReply::BadRequest(DEADLINE_FAULT);
        let text = self.sole_text(DEADLINE_HEADER).map_err(|()| fault())?;
        text.map(|text| text.parse().map_err(|_| fault()))
            .transpose()
    }

    /// How important the caller says that the request is.
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

    /// The only header of a name as text, if there is one.
    fn sole_text(&self, wanted: &'static str) -> Result<Option<&str>, ()> {
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
