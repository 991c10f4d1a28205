//! The secret that operators prove themselves with.

/// The shortest operators' token, in bytes.
pub const TOKEN_BYTES_MIN: usize = 16;
const TOKEN_BYTES_MAX: usize = 256;
const KEY_CONTEXT: &str = "sapphirestile operators' seals v1";

/// The operators' token: 16 to 256 printable ASCII characters without blanks.
///
/// Calls that change state carry it as `Authorization: Bearer TOKEN`.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::api::OperatorToken;
///
/// let token = OperatorToken::try_from("correct-horse-battery").unwrap();
/// assert!(token.matches("correct-horse-battery"));
/// assert!(token.admits(Some("Bearer correct-horse-battery")));
/// assert!(!token.admits(None));
/// assert!(OperatorToken::try_from("short").is_err());
/// ```
#[derive(Clone)]
pub struct OperatorToken(Box<str>);

impl OperatorToken {
    /// The token as text, to send it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether `offered` is this token, in a time that does not depend on it.
    #[must_use]
    pub fn matches(&self, offered: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(offered.as_bytes())
    }

    /// Whether the value of an `Authorization` header carries this token.
    #[must_use]
    pub fn admits(&self, authorization: Option<&str>) -> bool {
        authorization
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|offered| self.matches(offered))
    }

    /// A keyed hash of `message` that only holders of the token can make.
    #[must_use]
    pub fn seal(&self, purpose: &str, message: &str) -> String {
        self.keyed_hash(purpose, message).to_hex().to_string()
    }

    /// Whether `seal` is the seal of `message`, in a time that does not depend on it.
    #[must_use]
    pub fn is_seal(&self, purpose: &str, message: &str, seal: &str) -> bool {
        let expected = self.keyed_hash(purpose, message);
        blake3::Hash::from_hex(seal).is_ok_and(|offered| offered == expected)
    }

    fn keyed_hash(&self, purpose: &str, message: &str) -> blake3::Hash {
        let key = blake3::derive_key(KEY_CONTEXT, self.0.as_bytes());
        let mut hasher = blake3::Hasher::new_keyed(&key);
        hasher.update(
            &u64::try_from(purpose.len())
                .unwrap_or(u64::MAX)
                .to_le_bytes(),
        );
        hasher.update(purpose.as_bytes());
        hasher.update(message.as_bytes());
        hasher.finalize()
    }
}

impl TryFrom<&str> for OperatorToken {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let fits = (TOKEN_BYTES_MIN..=TOKEN_BYTES_MAX).contains(&text.len());
        if fits && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self(text.into()))
        } else {
            Err("a token is 16 to 256 printable ASCII characters without blanks")
        }
    }
}

impl PartialEq for OperatorToken {
    fn eq(&self, other: &Self) -> bool {
        self.matches(&other.0)
    }
}

impl Eq for OperatorToken {}

impl std::fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("OperatorToken(..)")
    }
}
