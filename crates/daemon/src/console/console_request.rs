//! A request to the console.

use crate::console::ConsoleMethod;
use crate::console::ConsolePart;
use crate::console::FormFields;
use crate::console::handle_request::SIGN_IN_PATH;
use sapphirestile_core::INI_BYTES_MAX;

const FORM_BYTES_MAX: usize = 16 * 1_024;
// URL encoding turns a byte into at most three.
const ENCODED_BYTES_PER_BYTE: usize = 3;

/// A request to the console, independent of the HTTP library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConsoleRequest<'r> {
    /// The HTTP method.
    pub method: ConsoleMethod,
    /// The path, without the query.
    pub path: &'r str,
    /// The `Cookie` header, if any.
    pub cookie: Option<&'r str>,
    /// The URL-encoded fields of a form; empty without a form.
    pub body: &'r [u8],
}

impl ConsoleRequest<'_> {
    /// The maximum length of the body of a request to `path`, in bytes. The calling code
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
            FORM_BYTES_MAX + ENCODED_BYTES_PER_BYTE * INI_BYTES_MAX
        } else {
            FORM_BYTES_MAX
        }
    }

    /// The token in a sign-in form; `None` for any other request.
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
