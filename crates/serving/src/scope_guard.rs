//! Restores the scope of a thread.

use crate::CodeScope;

/// Restores the earlier scope of the current thread when dropped, also during a panic.
pub(crate) struct ScopeGuard {
    earlier: CodeScope,
}

impl ScopeGuard {
    pub(crate) fn enter(scope: CodeScope) -> Self {
        Self {
            earlier: CodeScope::replace(scope),
        }
    }
}

impl Drop for ScopeGuard {
    fn drop(&mut self) {
        CodeScope::replace(self.earlier);
    }
}
