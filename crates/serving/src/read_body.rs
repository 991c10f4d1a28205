//! Reads the body of a request.

use std::io::Read;

use crate::BodyFault;

/// Reads a body of up to `max_bytes` to its end.
///
/// # Errors
///
/// [`BodyFault`], and then the body was not read to its end.
///
/// # Examples
///
/// ```
/// use sapphirestile_serving::BodyFault;
/// use sapphirestile_serving::read_body;
///
/// assert_eq!(read_body(&mut &b"chest"[..], 5), Ok(b"chest".to_vec()));
/// assert_eq!(read_body(&mut &b"chest"[..], 4), Err(BodyFault::TooLarge));
/// ```
pub fn read_body(reader: &mut dyn Read, max_bytes: usize) -> Result<Vec<u8>, BodyFault> {
    let limit = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let mut body = Vec::new();
    reader.take(limit).read_to_end(&mut body)?;
    if body.len() > max_bytes {
        return Err(BodyFault::TooLarge);
    }
    Ok(body)
}
