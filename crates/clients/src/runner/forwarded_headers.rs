//! Selection of the request headers that are forwarded to a runner.

use crate::http::HeaderView;
use crate::runner::REQUEST_ID_HEADER;
use crate::runner::RunnerRequest;

const CONNECTION_HEADER: &str = "connection";

/// Headers that apply only to one connection, or that the client sets itself.
const EXCLUDED_HEADERS: [&str; 11] = [
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

/// Returns the headers to forward, preceded by the request id.
pub(crate) fn forwarded_headers<'a>(request: &RunnerRequest<'a>) -> Vec<HeaderView<'a>> {
    let id = HeaderView {
        name: REQUEST_ID_HEADER,
        value: request.id.as_bytes(),
    };
    let forwarded = request.headers.iter().filter(|header| {
        !is_excluded(header.name) && !is_connection_option(header.name, request.headers)
    });
    std::iter::once(id).chain(forwarded.copied()).collect()
}

fn is_excluded(name: &str) -> bool {
    let mut excluded = EXCLUDED_HEADERS.iter();
    excluded.any(|header| name.eq_ignore_ascii_case(header))
}

/// Whether a `Connection` header lists `name` as applying only to the connection.
fn is_connection_option(name: &str, headers: &[HeaderView<'_>]) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(CONNECTION_HEADER))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
}
