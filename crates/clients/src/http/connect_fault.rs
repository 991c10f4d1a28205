//! Why no connection was made.

/// A connection that was not made, with the library's reason.
#[derive(Debug)]
pub(crate) struct ConnectFault {
    cause: ureq::Error,
}

impl ConnectFault {
    /// A connection that was not made because of `cause`.
    pub(crate) const fn new(cause: ureq::Error) -> Self {
        Self { cause }
    }

    /// Whether `error` says that no connection was made for a request.
    pub(crate) fn is_behind(error: &ureq::Error) -> bool {
        match error {
            ureq::Error::Other(inner) => inner.is::<Self>(),
            _ => false,
        }
    }

    /// What the operating system said of `error`, whether or not a connection
    /// was made.
    pub(crate) fn system_error(error: ureq::Error) -> std::io::Error {
        match error {
            ureq::Error::Other(inner) => match inner.downcast::<Self>() {
                Ok(fault) => fault.cause.into_io(),
                Err(inner) => ureq::Error::Other(inner).into_io(),
            },
            error => error.into_io(),
        }
    }
}

impl std::fmt::Display for ConnectFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "no connection was made: {}", self.cause)
    }
}

impl std::error::Error for ConnectFault {}
