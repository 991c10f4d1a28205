//! The session of an operator.

use std::fmt::Write;

use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::OperatorToken;

/// The duration of a session: eight hours, in milliseconds.
const SESSION_MS: u64 = 8 * 3_600_000;
const COOKIE_NAME: &str = "sapphirestile";
const COOKIE_PURPOSE: &str = "console session";
const FORM_PURPOSE: &str = "console form";
const COOKIE_ATTRIBUTES: &str = "Path=/console; HttpOnly; SameSite=Strict";

/// The session of a signed-in operator, which is kept only in a signed cookie.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::console::ConsoleSession;
/// use sapphirestile_wire::api::AuthorName;
/// use sapphirestile_wire::api::OperatorToken;
///
/// let token = OperatorToken::try_from("0123456789abcdef").unwrap();
/// let author = AuthorName::try_from("maija").unwrap();
/// let session = ConsoleSession::begin(author, 1_000);
/// let header = session.cookie(&token);
/// let cookie = header.split(';').next();
/// assert_eq!(ConsoleSession::from_cookie(cookie, &token, 2_000), Some(session));
/// assert_eq!(ConsoleSession::from_cookie(cookie, &token, u64::MAX), None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsoleSession {
    /// The name under which changes are recorded.
    pub author: AuthorName,
    /// The end of the session, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

impl ConsoleSession {
    /// A session of `author` that starts at `now_unix_ms`.
    #[must_use]
    pub const fn begin(author: AuthorName, now_unix_ms: u64) -> Self {
        Self {
            author,
            expires_unix_ms: now_unix_ms.saturating_add(SESSION_MS),
        }
    }

    /// The session in a `Cookie` header; `None` if there is none, its signature is wrong or
    /// it has ended.
    #[must_use]
    pub fn from_cookie(
        header: Option<&str>,
        token: &OperatorToken,
        now_unix_ms: u64,
    ) -> Option<Self> {
        let pairs = header?
            .split(';')
            .filter_map(|pair| pair.trim().split_once('='));
        let (_, value) = pairs.into_iter().find(|(name, _)| *name == COOKIE_NAME)?;
        let (content, signature) = value.rsplit_once('.')?;
        if !token.verify(COOKIE_PURPOSE, content, signature) {
            return None;
        }
        let (expires, author) = content.split_once('.')?;
        let session = Self {
            author: AuthorName::try_from(decode_hex(author)?.as_str()).ok()?,
            expires_unix_ms: expires.parse().ok()?,
        };
        (now_unix_ms < session.expires_unix_ms).then_some(session)
    }

    /// The `Set-Cookie` header that stores the session, signed with `token`.
    #[must_use]
    pub fn cookie(&self, token: &OperatorToken) -> String {
        let content = self.content();
        let signature = token.sign(COOKIE_PURPOSE, &content);
        format!("{COOKIE_NAME}={content}.{signature}; {COOKIE_ATTRIBUTES}")
    }

    /// The `Set-Cookie` header that deletes the cookie.
    #[must_use]
    pub fn end_cookie() -> String {
        format!("{COOKIE_NAME}=; {COOKIE_ATTRIBUTES}; Max-Age=0")
    }

    /// The token in every form of the session, which protects against cross-site requests.
    #[must_use]
    pub fn form_token(&self, token: &OperatorToken) -> String {
        token.sign(FORM_PURPOSE, &self.content())
    }

    /// `true` if `offered` is the form token of this session.
    #[must_use]
    pub fn verify_form_token(&self, token: &OperatorToken, offered: &str) -> bool {
        token.verify(FORM_PURPOSE, &self.content(), offered)
    }

    fn content(&self) -> String {
        let author = encode_hex(self.author.as_str());
        format!("{}.{author}", self.expires_unix_ms)
    }
}

// Names of authors may contain characters that cookies may not.
fn encode_hex(text: &str) -> String {
    text.bytes().fold(String::new(), |mut digits, byte| {
        write!(digits, "{byte:02x}").expect("writing to a string does not fail");
        digits
    })
}

fn decode_hex(text: &str) -> Option<String> {
    let digits = text.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(pair, 16).ok()
    });
    String::from_utf8(bytes.collect::<Option<Vec<_>>>()?).ok()
}
