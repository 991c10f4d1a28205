//! Marks errors of establishing a connection.

/// A failure to establish a connection, with the error of the HTTP library.
#[derive(Debug)]
pub(crate) struct ConnectError {
    cause: ureq::Error,
}

impl ConnectError {
    /// Marks `cause` as a failure to establish a connection.
    pub(crate) const fn new(cause: ureq::Error) -> Self {
        Self { cause }
    }

    /// Whether `error` was caused by a failure to establish a connection.
    pub(crate) fn is_cause_of(error: &ureq::Error) -> bool {
        match error {
            ureq::Error::Other(inner) => inner.is::<Self>(),
            _ => false,
        }
    }

    /// Returns the I/O error behind `error`, whether or not it carries this mark.
    pub(crate) fn into_io_error(error: ureq::Error) -> std::io::Error {
        match error {
            ureq::Error::Other(inner) => match inner.downcast::<Self>() {
                Ok(inner) => inner.cause.into_io(),
                Err(inner) => ureq::Error::Other(inner).into_io(),
            },
            error => error.into_io(),
        }
    }
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "failed to connect: {}", self.cause)
    }
}

impl std::error::Error for ConnectError {}
