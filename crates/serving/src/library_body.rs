//! Request body behind a panic boundary.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use crate::CodeScope;

/// A request body that the HTTP library decodes while a handler reads it. A panic of the
/// library becomes an error of kind [`ErrorKind::InvalidData`], so that the handler can end
/// as for any malformed body. All later reads fail too: the body may be half changed.
///
/// # Examples
///
/// ```
/// use std::io::Read;
///
/// use sapphirestile_serving::LibraryBody;
///
/// let mut text = String::new();
/// LibraryBody::new(&b"chest"[..]).read_to_string(&mut text).unwrap();
/// assert_eq!(text, "chest");
/// ```
#[derive(Debug)]
pub struct LibraryBody<R> {
    body: R,
    has_panicked: bool,
}

impl<R> LibraryBody<R> {
    /// Puts `body` behind the boundary.
    pub const fn new(body: R) -> Self {
        Self {
            body,
            has_panicked: false,
        }
    }
}

impl<R: Read> Read for LibraryBody<R> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.has_panicked {
            return Err(undecodable());
        }
        let read = || CodeScope::Library.run(|| self.body.read(buffer));
        // After a panic the body is not read again, and the buffer holds nothing of use.
        catch_unwind(AssertUnwindSafe(read)).unwrap_or_else(|_panic| {
            self.has_panicked = true;
            Err(undecodable())
        })
    }
}

fn undecodable() -> Error {
    Error::new(
        ErrorKind::InvalidData,
        "the HTTP library panicked while it decoded the request body",
    )
}
