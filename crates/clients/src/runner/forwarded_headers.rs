//! The headers of a request that go on to a runner.

use crate::http::HeaderView;
use crate::runner::REQUEST_ID_HEADER;
use crate::runner::RunnerRequest;

const CONNECTION_HEADER: &str = "connection";

/// Headers that concern one connection, or that the client writes itself.
const HEADERS_LEFT_OUT: [&str; 11] = [
    CONNECTION_HEADER,
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    REQUEST_ID_HEADER,
];

/// The headers that go on, with the number of the request.
pub(crate) fn forwarded_headers<'a>(request: &RunnerRequest<'a>) -> Vec<HeaderView<'a>> {
    let id = HeaderView {
        name: REQUEST_ID_HEADER,
        value: request.id.as_bytes(),
    };
    let kept = request
        .headers
        .iter()
        .filter(|header| !is_left_out(header.name) && !is_nominated(header.name, request.headers));
    std::iter::once(id).chain(kept.copied()).collect()
}

fn is_left_out(name: &str) -> bool {
    let mut left_out = HEADERS_LEFT_OUT.iter();
    left_out.any(|header| name.eq_ignore_ascii_case(header))
}

/// Whether a `Connection` header says that the header concerns the connection.
fn is_nominated(name: &str, headers: &[HeaderView<'_>]) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(CONNECTION_HEADER))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
}
