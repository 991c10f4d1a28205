//! Refuses a request before it is handled.

use crate::console::ConsolePage;
use crate::console::ConsoleState;
use crate::console::pages::PageLayout;
use crate::console::pages::message_notice;

/// The page for a request that is refused before it is handled, with `message` and
/// without a session.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::console::ConsoleState;
/// use sapphirestile_daemon::console::refuse_request;
/// use sapphirestile_wire::api::OperatorToken;
///
/// let view = r#"{"revision": 0, "text": "", "author": "", "changed_unix_ms": 0}"#;
/// let status = r#"{"daemon": "hki-1", "incarnation": 1, "zone": "rannikko-hki",
///     "phase": "serving", "revision": 0, "store_reachable": true, "cells": [],
///     "members": [], "zones": [], "services": [], "queues": []}"#;
/// let state = ConsoleState {
///     view: &serde_json::from_str(view).unwrap(),
///     recent: &[],
///     status: &serde_json::from_str(status).unwrap(),
///     token: &OperatorToken::try_from("0123456789abcdef").unwrap(),
///     now_unix_ms: 0,
/// };
/// let page = refuse_request(429, "Wait a moment.", &state);
/// assert_eq!(page.status, 429);
/// assert!(page.body.contains("Wait a moment."));
/// ```
#[must_use]
pub fn refuse_request(status: u16, message: &str, state: &ConsoleState<'_>) -> ConsolePage {
    let layout = PageLayout::new(state, None);
    ConsolePage::html(
        status,
        layout.render_page("Not done", &message_notice(message)),
    )
}
