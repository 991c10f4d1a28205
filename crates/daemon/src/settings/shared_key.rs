//! The secret that daemons share.

const SECRET_BYTES_MIN: usize = 16;
const SECRET_BYTES_MAX: usize = 256;

/// The shared secret, from which the key of the hash that authenticates messages is
/// derived. Its `Debug` output does not show the secret.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::settings::SharedKey;
///
/// let key = SharedKey::try_from("0123456789abcdef").unwrap();
/// assert_eq!(key.as_bytes(), b"0123456789abcdef");
/// assert_eq!(format!("{key:?}"), "SharedKey(..)");
/// assert!(SharedKey::try_from("short").is_err());
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct SharedKey(Box<str>);

impl SharedKey {
    /// The secret, to derive the key from.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl TryFrom<&str> for SharedKey {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        if (SECRET_BYTES_MIN..=SECRET_BYTES_MAX).contains(&text.len()) {
            Ok(Self(text.into()))
        } else {
            Err("a key is 16 to 256 bytes long")
        }
    }
}

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedKey(..)")
    }
}
