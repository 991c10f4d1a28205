//! A connection between two calls.

use std::time::Instant;

use crate::http::SilenceMark;

/// A connection that is not in use. It takes part in a call again only by
/// [`reuse`](Self::reuse), which closes it if it may have failed.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use sapphirestile_clients::http::IdleConnection;
/// use sapphirestile_clients::http::SilenceMark;
///
/// let silence = SilenceMark::new();
/// let idle = IdleConnection::new("connection", Instant::now());
/// assert_eq!(idle.reuse(&silence), Some("connection"));
/// ```
#[derive(Clone, Debug)]
pub struct IdleConnection<C> {
    connection: C,
    answered: Instant,
}

impl<C> IdleConnection<C> {
    /// A connection on which the peer has answered at `answered`.
    pub const fn new(connection: C, answered: Instant) -> Self {
        Self {
            connection,
            answered,
        }
    }

    /// The time of the latest answer.
    pub const fn answered(&self) -> Instant {
        self.answered
    }

    /// The connection while it is not in use.
    pub const fn connection(&self) -> &C {
        &self.connection
    }

    /// Returns the connection for another call; `None` if it was closed, as the peer has left
    /// a call unanswered since the latest answer.
    pub fn reuse(self, silence: &SilenceMark) -> Option<C> {
        (!silence.casts_doubt_on(self.answered)).then_some(self.connection)
    }
}
