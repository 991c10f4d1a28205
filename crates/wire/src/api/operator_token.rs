//! The secret that authenticates operators.

/// The minimum length of an operator token, in bytes.
pub const TOKEN_BYTES_MIN: usize = 16;
const TOKEN_BYTES_MAX: usize = 256;
const KEY_CONTEXT: &str = "sapphirestile operators' seals v1";

/// The operators' shared token: 16 to 256 printable ASCII characters without spaces.
///
/// Calls that change state send it as `Authorization: Bearer TOKEN`.
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
    /// Returns the token in plain text, to be sent in a header.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether `offered` equals this token. Compares in constant time.
    #[must_use]
    pub fn matches(&self, offered: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(offered.as_bytes())
    }

    /// Whether the value of an `Authorization` header has this token as its bearer token.
    #[must_use]
    pub fn admits(&self, authorization: Option<&str>) -> bool {
        authorization
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|offered| self.matches(offered))
    }

    /// Returns a message authentication code of `message`, in hexadecimal digits.
    ///
    /// The code is bound to `purpose`: it does not verify for another purpose.
    #[must_use]
    pub fn sign(&self, purpose: &str, message: &str) -> String {
        self.keyed_hash(purpose, message).to_hex().to_string()
    }

    /// Whether `code` is the authentication code of `message` for `purpose`. Compares in
    /// constant time.
    #[must_use]
    pub fn verify(&self, purpose: &str, message: &str, code: &str) -> bool {
        let expected = self.keyed_hash(purpose, message);
        blake3::Hash::from_hex(code).is_ok_and(|offered| offered == expected)
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
