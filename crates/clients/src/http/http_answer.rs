//! A whole answer.

use ureq::http::HeaderMap;

/// An answer whose body arrived as long as it was announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// The value of the header `name` when the answer has it exactly once.
    ///
    /// # Examples
    ///
    /// ```
    /// use ureq::http::HeaderMap;
    /// use sapphirestile_clients::http::HttpAnswer;
    ///
    /// let mut headers = HeaderMap::new();
    /// headers.append("x-request-id", "7".parse().unwrap());
    /// let mut answer = HttpAnswer { status: 200, headers, body: Vec::new() };
    /// assert_eq!(answer.sole_header("x-request-id"), Some(b"7".as_slice()));
    /// answer.headers.append("x-request-id", "8".parse().unwrap());
    /// assert_eq!(answer.sole_header("x-request-id"), None);
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
