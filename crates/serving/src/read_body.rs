//! Reads request bodies.

use std::io::Read;

use crate::BodyError;

/// Reads a complete body of up to `max_bytes`.
///
/// # Errors
///
/// [`BodyError`]; part of the body may then remain unread.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::BodyError;
/// use sapphirestile_serving::read_body;
///
/// assert_eq!(read_body(&mut &b"chest"[..], 5), Ok(b"chest".to_vec()));
/// assert_eq!(read_body(&mut &b"chest"[..], 4), Err(BodyError::TooLarge));
/// ```
pub fn read_body(reader: &mut dyn Read, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let limit = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let mut body = Vec::new();
    reader.take(limit).read_to_end(&mut body)?;
    if body.len() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    Ok(body)
}
