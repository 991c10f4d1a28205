//! A page of the console.

use crate::console::HtmlText;

/// The headers of every page: no scripts, no framing, no caching.
const PAGE_HEADERS: [(&str, &str); 5] = [
    (
        "Content-Security-Policy",
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; \
         base-uri 'none'",
    ),
    ("X-Content-Type-Options", "nosniff"),
    ("X-Frame-Options", "DENY"),
    ("Referrer-Policy", "no-referrer"),
    ("Cache-Control", "no-store"),
];
const HTML_TYPE: &str = "text/html; charset=utf-8";
const CSS_TYPE: &str = "text/css; charset=utf-8";
const OK_STATUS: u16 = 200;
const SEE_OTHER_STATUS: u16 = 303;

/// A page to send, independent of the HTTP library.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsolePage {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: &'static str,
    /// The body.
    pub body: String,
    /// The `Set-Cookie` header: set when an operator signs in or out.
    pub set_cookie: Option<String>,
    /// The `Location` header: set for a redirect.
    pub location: Option<&'static str>,
}

impl ConsolePage {
    pub(super) fn html(status: u16, text: HtmlText) -> Self {
        Self {
            status,
            content_type: HTML_TYPE,
            body: text.into_string(),
            set_cookie: None,
            location: None,
        }
    }

    pub(super) fn style() -> Self {
        Self {
            status: OK_STATUS,
            content_type: CSS_TYPE,
            body: include_str!("style.css").to_owned(),
            set_cookie: None,
            location: None,
        }
    }

    pub(super) fn redirect(location: &'static str) -> Self {
        Self {
            status: SEE_OTHER_STATUS,
            content_type: HTML_TYPE,
            body: String::new(),
            set_cookie: None,
            location: Some(location),
        }
    }

    /// The headers to send in addition to those in the fields.
    #[must_use]
    pub const fn headers() -> &'static [(&'static str, &'static str)] {
        &PAGE_HEADERS
    }
}
