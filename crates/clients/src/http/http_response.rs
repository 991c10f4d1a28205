//! A complete HTTP response.

use ureq::http::HeaderMap;

/// A response whose body was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns the value of the header `name` if the response has it exactly once.
    ///
    /// # Examples
    ///
    /// ```
    /// use ureq::http::HeaderMap;
    /// use sapphirestile_clients::http::HttpResponse;
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.append("x-request-id", "7".parse().unwrap());
    /// let mut response = HttpResponse { status: 200, headers, body: Vec::new() };
    /// assert_eq!(response.sole_header("x-request-id"), Some(b"7".as_slice()));
    /// response.headers.append("x-request-id", "8".parse().unwrap());
    /// assert_eq!(response.sole_header("x-request-id"), None);
    /// ```
    #[must_use]
    pub fn sole_header(&self, name: &str) -> Option<&[u8]> {
        let mut values = self.headers.get_all(name).iter();
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        Some(value.as_bytes())
    }
}
