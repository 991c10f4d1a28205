//! Marks whose code a thread runs.

use std::cell::Cell;

use crate::ConnectionPeer;
use crate::scope_guard::ScopeGuard;

thread_local! {
    static CURRENT: Cell<CodeScope> = const { Cell::new(CodeScope::Unmarked) };
}

/// Whose code the current thread runs. A panic of the HTTP library leaves at most the state
/// of one connection half changed; a panic of any other code may leave shared state so.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::CodeScope;
///
/// assert!(!CodeScope::is_library());
/// assert!(CodeScope::Library.run(CodeScope::is_library));
/// let nested = || CodeScope::Handler.run(CodeScope::is_library);
/// assert!(!CodeScope::Library.run(nested));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CodeScope {
    /// The thread has not been marked. It runs the HTTP library if it serves a connection.
    Unmarked,
    /// Request handlers, and all that they call.
    Handler,
    /// The HTTP library, called by a handler to read a body.
    Library,
}

impl CodeScope {
    /// Runs `call` in this scope, and restores the earlier scope afterwards.
    pub fn run<T>(self, call: impl FnOnce() -> T) -> T {
        let _restore = ScopeGuard::enter(self);
        call()
    }

    /// Whether the current thread runs the HTTP library for a connection.
    #[must_use]
    pub fn is_library() -> bool {
        match CURRENT.get() {
            Self::Unmarked => ConnectionPeer::of_this_thread().is_some(),
            Self::Handler => false,
            Self::Library => true,
        }
    }

    /// Sets the scope of the current thread and returns the earlier one.
    pub(crate) fn replace(scope: Self) -> Self {
        CURRENT.replace(scope)
    }
}
