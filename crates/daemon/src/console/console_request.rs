//! A request to the console.

use crate::console::ConsoleMethod;
use crate::console::ConsolePart;
use crate::console::FormFields;
use crate::console::handle_request::SIGN_IN_PATH;
use sapphirestile_core::INI_BYTES_MAX;

const FORM_BYTES_MAX: usize = 16 * 1_024;
const ENCODED_BYTES_A_BYTE: usize = 3;

/// A request to the console, whatever HTTP library read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConsoleRequest<'r> {
    /// The method.
    pub method: ConsoleMethod,
    /// The path, without the query.
    pub path: &'r str,
    /// The `Cookie` header.
    pub cookie: Option<&'r str>,
    /// The body of a form.
    pub body: &'r [u8],
}

impl ConsoleRequest<'_> {
    /// The longest body that a request to `path` may have, in bytes. The caller
    /// reads no more than this.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_daemon::console::ConsoleRequest;
    ///
    /// assert_eq!(ConsoleRequest::body_bytes_max("/console/zones"), 16_384);
    /// ```
    #[must_use]
    pub fn body_bytes_max(path: &str) -> usize {
        if path == ConsolePart::Document.path() {
            FORM_BYTES_MAX + ENCODED_BYTES_A_BYTE * INI_BYTES_MAX
        } else {
            FORM_BYTES_MAX
        }
    }

    /// The token that a form to sign in offers; none when the request is no such
    /// form.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_daemon::console::ConsoleMethod;
    /// use sapphirestile_daemon::console::ConsoleRequest;
    ///
    /// let request = ConsoleRequest {
    ///     method: ConsoleMethod::Post,
    ///     path: "/console/sign-in",
    ///     cookie: None,
    ///     body: b"author=maija&token=guess",
    /// };
    /// assert_eq!(request.offered_token().as_deref(), Some("guess"));
    /// ```
    #[must_use]
    pub fn offered_token(&self) -> Option<String> {
        if self.method != ConsoleMethod::Post || self.path != SIGN_IN_PATH {
            return None;
        }
        let fields = FormFields::try_from(self.body).ok()?;
        Some(fields.get("token").to_owned())
    }
}
