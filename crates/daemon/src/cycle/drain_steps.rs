//! The last steps of a planned stop.

use std::time::Duration;

use crossbeam::channel::bounded;
use tracing::info;

use crate::context::DaemonContext;
use crate::members::MemberRegistration;
use crate::tokens::TokenEvent;

const HAND_OVER_WAIT: Duration = Duration::from_secs(3);

/// Gives the tokens to peers, so that nobody waits for a proof that this
/// incarnation is gone.
pub(super) fn hand_tokens_over(context: &DaemonContext) {
    let (reply, done) = bounded(1);
    let told = context.token_events.send(TokenEvent::Drain(reply));
    let left = told.is_ok() && done.recv_timeout(HAND_OVER_WAIT).is_ok();
    info!(
        step = "hand tokens over",
        peer = "other daemons",
        left,
        "ended"
    );
}

/// Whoever reads that the registration is gone knows that this incarnation holds
/// and does nothing any more.
pub(super) fn take_registration_back(context: &DaemonContext) {
    let daemon = context.identity.daemon.as_str();
    let registration = MemberRegistration::new(context.store.as_ref(), daemon);
    registration.remove(context.identity.incarnation);
}
