//! The last steps of a planned stop.

use std::time::Duration;

use crossbeam::channel::bounded;
use tracing::info;

use crate::context::DaemonContext;
use crate::members::MemberRegistration;
use crate::tokens::TokenEvent;

/// The longest time to wait until the daemon's tokens are handed over.
const TOKEN_HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Hands the tokens to other daemons, so that they can use them without waiting for a
/// proof that this incarnation is gone.
pub(super) fn hand_over_tokens(context: &DaemonContext) {
    let (reply, handed_over) = bounded(1);
    let sent = context.token_events.send(TokenEvent::Leave(reply));
    let left = sent.is_ok() && handed_over.recv_timeout(TOKEN_HANDOVER_TIMEOUT).is_ok();
    info!(
        step = "hand tokens over",
        peer = "other daemons",
        left,
        "ended"
    );
}

/// Removes the daemon's registration. To other daemons a removed registration proves that
/// this incarnation holds nothing and acts no longer.
pub(super) fn remove_registration(context: &DaemonContext) {
    let daemon = context.identity.daemon.as_str();
    let registration = MemberRegistration::new(context.store.as_ref(), daemon);
    registration.remove(context.identity.incarnation);
}
