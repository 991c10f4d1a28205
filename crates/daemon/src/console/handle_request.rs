//! Handles a request to the console.

use crate::console::ConsoleChange;
use crate::console::ConsoleMethod;
use crate::console::ConsolePage;
use crate::console::ConsolePart;
use crate::console::ConsoleRequest;
use crate::console::ConsoleSession;
use crate::console::ConsoleState;
use crate::console::ConsoleStep;
use crate::console::FormAction;
use crate::console::FormFields;
use crate::console::HtmlText;
use crate::console::pages::PageLayout;
use crate::console::pages::confirm_notice;
use crate::console::pages::conflict_notice;
use crate::console::pages::fault_notice;
use crate::console::pages::message_notice;
use crate::console::pages::part_body;
use crate::console::pages::sign_in_body;
use crate::console::pages::text_body;
use crate::console::parse_form::CONFIRM_FIELD;
use crate::console::parse_form::CONFIRM_VALUE;
use crate::console::parse_form::parse_form;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentDifference;
use sapphirestile_core::IniFault;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;

pub(super) const SIGN_IN_PATH: &str = "/console/sign-in";
pub(super) const SIGN_OUT_PATH: &str = "/console/sign-out";
pub(super) const STYLE_PATH: &str = "/console/style.css";
const OK_STATUS: u16 = 200;
const BAD_REQUEST_STATUS: u16 = 400;
const UNAUTHORIZED_STATUS: u16 = 401;
const FORBIDDEN_STATUS: u16 = 403;
const NOT_FOUND_STATUS: u16 = 404;
const NOT_ALLOWED_STATUS: u16 = 405;
const CONFLICT_STATUS: u16 = 409;
const TOO_LARGE_STATUS: u16 = 413;
const INVALID_STATUS: u16 = 422;

/// Decides what to do with a request to the console, without reading or writing anything.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::console::ConsoleMethod;
/// use sapphirestile_daemon::console::ConsoleRequest;
/// use sapphirestile_daemon::console::ConsoleState;
/// use sapphirestile_daemon::console::ConsoleStep;
/// use sapphirestile_daemon::console::handle_request;
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
/// let request = ConsoleRequest {
///     method: ConsoleMethod::Post,
///     path: "/console/zones",
///     cookie: None,
///     body: b"zone=rannikko-hki&state=out",
/// };
/// let ConsoleStep::Page(page) = handle_request(&request, &state) else {
///     panic!("a change without a session");
/// };
/// assert_eq!(page.status, 401);
/// ```
#[must_use]
pub fn handle_request(request: &ConsoleRequest<'_>, state: &ConsoleState<'_>) -> ConsoleStep {
    let session = ConsoleSession::from_cookie(request.cookie, state.token, state.now_unix_ms);
    let layout = PageLayout::new(state, session.as_ref());
    if request.body.len() > ConsoleRequest::body_bytes_max(request.path) {
        return refuse(
            &layout,
            TOO_LARGE_STATUS,
            "The form is too large. Nothing was done.",
        );
    }
    match (request.method, request.path) {
        (ConsoleMethod::Get, STYLE_PATH) => ConsoleStep::Page(ConsolePage::style()),
        (ConsoleMethod::Get, SIGN_IN_PATH) => {
            let html = layout.render_page("Sign in", &sign_in_body());
            ConsoleStep::Page(ConsolePage::html(OK_STATUS, html))
        }
        (ConsoleMethod::Get, path) => show_part(&layout, path),
        (ConsoleMethod::Post, path) => match FormFields::try_from(request.body) {
            Ok(fields) if path == SIGN_IN_PATH => sign_in(&layout, &fields),
            Ok(fields) => post_form(&layout, path, fields),
            Err(message) => refuse(&layout, BAD_REQUEST_STATUS, message),
        },
    }
}

fn show_part(layout: &PageLayout<'_>, path: &str) -> ConsoleStep {
    let Some(part) = ConsolePart::at(path) else {
        return refuse(layout, NOT_FOUND_STATUS, "There is no such page.");
    };
    let html = layout.render_part(part, &part_body(part, layout));
    ConsoleStep::Page(ConsolePage::html(OK_STATUS, html))
}

fn sign_in(layout: &PageLayout<'_>, fields: &FormFields) -> ConsoleStep {
    let state = layout.state;
    if !state.token.matches(fields.get("token")) {
        return refuse(layout, UNAUTHORIZED_STATUS, "The token is not right.");
    }
    let author = match AuthorName::try_from(fields.get("author").trim()) {
        Ok(author) => author,
        Err(message) => return refuse(layout, INVALID_STATUS, message),
    };
    let session = ConsoleSession::begin(author, state.now_unix_ms);
    let mut page = ConsolePage::redirect(ConsolePart::Overview.path());
    page.set_cookie = Some(session.cookie(state.token));
    ConsoleStep::Page(page)
}

fn post_form(layout: &PageLayout<'_>, path: &str, fields: FormFields) -> ConsoleStep {
    let state = layout.state;
    let Some(session) = layout.session else {
        let message = "Nothing was done. Sign in first, with the operators' token.";
        return refuse(layout, UNAUTHORIZED_STATUS, message);
    };
    if !session.verify_form_token(state.token, fields.get("form_token")) {
        let message = "Nothing was done. The form is not one of your session; open it again.";
        return refuse(layout, FORBIDDEN_STATUS, message);
    }
    if path == SIGN_OUT_PATH {
        let mut page = ConsolePage::redirect(ConsolePart::Overview.path());
        page.set_cookie = Some(ConsoleSession::end_cookie());
        return ConsoleStep::Page(page);
    }
    match ConsolePart::at(path) {
        None => refuse(layout, NOT_FOUND_STATUS, "There is no such form."),
        Some(ConsolePart::Overview | ConsolePart::Changes) => {
            refuse(layout, NOT_ALLOWED_STATUS, "This page has no form.")
        }
        Some(part) => change(layout, session, part, fields),
    }
}

fn change(
    layout: &PageLayout<'_>,
    session: &ConsoleSession,
    part: ConsolePart,
    fields: FormFields,
) -> ConsoleStep {
    let current = layout.state.view;
    let Ok(based_on) = fields.get("based_on").parse::<u64>() else {
        return refuse(layout, BAD_REQUEST_STATUS, "The form names no revision.");
    };
    let based_on = ConfigRevision::new(based_on);
    let action = match parse_form(part, &fields) {
        Ok(action) => action,
        Err(faults) => return invalid(layout, part, &faults, &part_body(part, layout)),
    };
    let text = match action.apply_to(&current.text) {
        Ok(text) => text,
        Err(fault) => {
            // A text keeps the revision it is based on. Otherwise it would overwrite
            // changes that its author has not seen.
            let form = action.whole_text().map_or_else(
                || part_body(part, layout),
                |text| text_body(layout, text, based_on),
            );
            return invalid(layout, part, &fault.faults, &form);
        }
    };
    let dry_run = matches!(action, FormAction::Check(_));
    if based_on != current.revision && !dry_run {
        let body = conflict_notice(layout, part, &fields, &text, based_on);
        return ConsoleStep::Page(ConsolePage::html(
            CONFLICT_STATUS,
            layout.render_part(part, &body),
        ));
    }
    if action.needs_confirmation() && fields.get(CONFIRM_FIELD) != CONFIRM_VALUE {
        let lines = DocumentDifference::between(&current.text, &text).lines();
        let body = confirm_notice(layout, part, &fields, &lines);
        return ConsoleStep::Page(ConsolePage::html(
            OK_STATUS,
            layout.render_part(part, &body),
        ));
    }
    ConsoleStep::Change(Box::new(ConsoleChange {
        change: DocumentChange {
            based_on,
            text,
            author: session.author.clone(),
            dry_run,
        },
        part,
        session: session.clone(),
        fields,
    }))
}

fn invalid(
    layout: &PageLayout<'_>,
    part: ConsolePart,
    faults: &[IniFault],
    form: &HtmlText,
) -> ConsoleStep {
    let mut body = fault_notice(faults);
    body.append(form);
    ConsoleStep::Page(ConsolePage::html(
        INVALID_STATUS,
        layout.render_part(part, &body),
    ))
}

fn refuse(layout: &PageLayout<'_>, status: u16, message: &str) -> ConsoleStep {
    let mut body = message_notice(message);
    if status == UNAUTHORIZED_STATUS {
        body.append(&sign_in_body());
    }
    ConsoleStep::Page(ConsolePage::html(
        status,
        layout.render_page("Not done", &body),
    ))
}
