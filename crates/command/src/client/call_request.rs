//! A call to make.

const READ_METHOD: &str = "GET";

/// Method, path and body of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest<'a> {
    pub(crate) method: &'static str,
    pub(crate) path: &'a str,
    pub(crate) body: Vec<u8>,
}

impl<'a> CallRequest<'a> {
    /// Reads `path`. Reads are repeated at the next daemon after any failure.
    #[must_use]
    pub const fn read(path: &'a str) -> Self {
        Self {
            method: READ_METHOD,
            path,
            body: Vec::new(),
        }
    }

    /// Changes something by a `POST` of `body` to `path`.
    #[must_use]
    pub const fn post(path: &'a str, body: Vec<u8>) -> Self {
        Self {
            method: "POST",
            path,
            body,
        }
    }

    /// Changes something by a `PUT` of `body` to `path`.
    #[must_use]
    pub const fn put(path: &'a str, body: Vec<u8>) -> Self {
        Self {
            method: "PUT",
            path,
            body,
        }
    }

    pub(crate) fn changes(&self) -> bool {
        self.method != READ_METHOD
    }
}
