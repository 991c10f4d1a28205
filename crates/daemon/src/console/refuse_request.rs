//! Refuses a request that is not handled.

use crate::console::ConsolePage;
use crate::console::ConsoleState;
use crate::console::pages::PageFrame;
use crate::console::pages::message_notice;

/// The page that refuses a request which was not handled.
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
    let frame = PageFrame::new(state, None);
    ConsolePage::html(status, frame.page("Not done", &message_notice(message)))
}
