//! A panic of the HTTP library while a handler reads a body.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;

use sapphirestile_serving::BodyError;
use sapphirestile_serving::CodeScope;
use sapphirestile_serving::LibraryBody;
use sapphirestile_serving::read_body;

/// Panics at the second read, and gives bytes before and after it.
struct PanickingBody {
    reads: u32,
}

impl Read for PanickingBody {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        assert!(CodeScope::is_library(), "a body is read outside the scope");
        self.reads += 1;
        assert_ne!(self.reads, 2, "the second read panics");
        buffer[0] = b'x';
        Ok(1)
    }
}

#[test]
fn a_panic_becomes_an_error_and_the_body_is_not_read_again() {
    let mut body = LibraryBody::new(PanickingBody { reads: 0 });
    let mut buffer = [0; 4];
    assert_eq!(body.read(&mut buffer).ok(), Some(1));
    for _ in 0..3 {
        let kind = body.read(&mut buffer).map_err(|error| error.kind());
        assert_eq!(kind, Err(ErrorKind::InvalidData));
    }
}

#[test]
fn a_handler_sees_a_broken_body_and_keeps_its_scope() {
    let read = || {
        let mut body = LibraryBody::new(PanickingBody { reads: 0 });
        let read = read_body(&mut body, 100);
        (read, CodeScope::is_library())
    };
    let seen = CodeScope::Handler.run(read);
    assert_eq!(seen, (Err(BodyError::Broken), false));
}
