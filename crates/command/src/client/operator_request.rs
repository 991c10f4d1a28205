//! HTTP requests to daemons.

const READ_METHOD: &str = "GET";

/// Method, path and JSON body of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorRequest<'a> {
    pub(crate) method: &'static str,
    pub(crate) path: &'a str,
    pub(crate) body: Vec<u8>,
}

impl<'a> OperatorRequest<'a> {
    /// A `GET` of `path` without a body. After any error, the client sends it to the next
    /// daemon.
    #[must_use]
    pub const fn get(path: &'a str) -> Self {
        Self {
            method: READ_METHOD,
            path,
            body: Vec::new(),
        }
    }

    /// A `POST` of `body` to `path`, to change something.
    #[must_use]
    pub const fn post(path: &'a str, body: Vec<u8>) -> Self {
        Self {
            method: "POST",
            path,
            body,
        }
    }

    /// A `PUT` of `body` to `path`, to change something.
    #[must_use]
    pub const fn put(path: &'a str, body: Vec<u8>) -> Self {
        Self {
            method: "PUT",
            path,
            body,
        }
    }

    /// Whether the request may change something, so that sending it to a second daemon
    /// may carry it out twice.
    pub(crate) fn is_write(&self) -> bool {
        self.method != READ_METHOD
    }
}
