//! The panic hook of the daemon.

use std::panic::PanicHookInfo;

use tracing::field::display;
use tracing::warn;

use crate::context::RepeatLimiter;
use crate::serving::CodeScope;
use crate::serving::ConnectionPanics;
use crate::serving::ConnectionPeer;
use crate::serving::MonoClock;

/// Handler of the panics that the standard library installs.
type DefaultHook = Box<dyn Fn(&PanicHookInfo<'_>) + Send + Sync>;

/// The panic hook of the daemon. A panic of the HTTP library ends the connection that it
/// serves: it has changed nothing that other threads use. Any other panic aborts the
/// process, because an invariant is broken. Otherwise the work of that thread would stop
/// while the process still claims to own its cells and tokens.
pub struct PanicHook {
    default_hook: DefaultHook,
    log_limiter: RepeatLimiter,
    clock: MonoClock,
}

impl PanicHook {
    /// Installs the hook for all threads of the process.
    pub fn install() {
        let hook = Self {
            default_hook: std::panic::take_hook(),
            log_limiter: RepeatLimiter::default(),
            clock: MonoClock::start(),
        };
        std::panic::set_hook(Box::new(move |panic| hook.handle(panic)));
    }

    fn handle(&self, panic: &PanicHookInfo<'_>) {
        if CodeScope::is_library() {
            self.record(panic);
            return;
        }
        (self.default_hook)(panic);
        std::process::abort();
    }

    /// Counts a panic of the library, and logs it within the rate limit.
    fn record(&self, panic: &PanicHookInfo<'_>) {
        ConnectionPanics::of_process().add();
        if let Some(repeats) = self.log_limiter.try_acquire(self.clock.now()) {
            let peer = ConnectionPeer::of_this_thread().map(|peer| display(peer.address()));
            warn!(peer, repeats, %panic, "connection ended by a panic of the HTTP library");
        }
    }
}
