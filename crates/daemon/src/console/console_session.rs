//! Who is signed in.

use std::fmt::Write;

use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::OperatorToken;

/// How long a session lasts, in milliseconds.
const SESSION_MS: u64 = 8 * 3_600_000;
const COOKIE_NAME: &str = "sapphirestile";
const COOKIE_PURPOSE: &str = "console session";
const FORM_PURPOSE: &str = "console form";
const COOKIE_ATTRIBUTES: &str = "Path=/console; HttpOnly; SameSite=Strict";

/// A signed-in operator, until a point in time.
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
    /// The name that changes are kept under.
    pub author: AuthorName,
    /// When the session ends, in milliseconds since 1970 UTC.
    pub expires_unix_ms: u64,
}

impl ConsoleSession {
    /// A session of `author` that begins at `now_unix_ms`.
    #[must_use]
    pub const fn begin(author: AuthorName, now_unix_ms: u64) -> Self {
        Self {
            author,
            expires_unix_ms: now_unix_ms.saturating_add(SESSION_MS),
        }
    }

    /// The session in a `Cookie` header, if its seal is right and it has not ended.
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
        let (content, seal) = value.rsplit_once('.')?;
        if !token.verify(COOKIE_PURPOSE, content, seal) {
            return None;
        }
        let (expires, author) = content.split_once('.')?;
        let session = Self {
            author: AuthorName::try_from(decode_hex(author)?.as_str()).ok()?,
            expires_unix_ms: expires.parse().ok()?,
        };
        (now_unix_ms < session.expires_unix_ms).then_some(session)
    }

    /// The `Set-Cookie` header that keeps the session.
    #[must_use]
    pub fn cookie(&self, token: &OperatorToken) -> String {
        let content = self.content();
        let seal = token.sign(COOKIE_PURPOSE, &content);
        format!("{COOKIE_NAME}={content}.{seal}; {COOKIE_ATTRIBUTES}")
    }

    /// The `Set-Cookie` header that ends any session.
    #[must_use]
    pub fn end_cookie() -> String {
        format!("{COOKIE_NAME}=; {COOKIE_ATTRIBUTES}; Max-Age=0")
    }

    /// What every form of the session carries.
    #[must_use]
    pub fn form_token(&self, token: &OperatorToken) -> String {
        token.sign(FORM_PURPOSE, &self.content())
    }

    /// Whether `offered` is what the forms of the session carry.
    #[must_use]
    pub fn is_form_token(&self, token: &OperatorToken, offered: &str) -> bool {
        token.verify(FORM_PURPOSE, &self.content(), offered)
    }

    fn content(&self) -> String {
        let author = encode_hex(self.author.as_str());
        format!("{}.{author}", self.expires_unix_ms)
    }
}

// Authors may hold characters that cookies may not.
fn encode_hex(text: &str) -> String {
    text.bytes().fold(String::new(), |mut digits, byte| {
        write!(digits, "{byte:02x}").expect("a string takes every text");
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
