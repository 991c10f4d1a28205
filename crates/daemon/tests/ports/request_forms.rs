//! Requests that no client should send, and unusual ones.

/// More than the length of a head that the HTTP library accepts.
const OVERSIZED_BYTES: usize = 20_000;

/// More headers than the HTTP library accepts; all of them fit into a head.
const HEADERS_MANY: usize = 1_100;

/// A request target in authority form, which is only for proxies. It makes the HTTP library
/// panic.
pub fn authority_form() -> Vec<u8> {
    b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n".to_vec()
}

/// Requests that are not valid HTTP, or that only a proxy may take, each with its name.
pub fn invalid_requests() -> Vec<(&'static str, Vec<u8>)> {
    let long = "a".repeat(OVERSIZED_BYTES);
    let many_headers = "h:\r\n".repeat(HEADERS_MANY);
    vec![
        ("authority form", authority_form()),
        ("authority form of GET", line("GET a:1 HTTP/1.1")),
        ("authority form without port", line("CONNECT a HTTP/1.1")),
        ("authority form, port 0", line("CONNECT a:0 HTTP/1.1")),
        (
            "authority form, port too large",
            line("CONNECT a:65536 HTTP/1.1"),
        ),
        (
            "authority form, port no number",
            line("CONNECT a:b HTTP/1.1"),
        ),
        ("authority form, empty port", line("CONNECT a: HTTP/1.1")),
        ("authority form, IPv6", line("CONNECT [::1]:1 HTTP/1.1")),
        ("authority form, user", line("CONNECT u:p@a:1 HTTP/1.1")),
        ("other scheme", line("GET ftp://a/ HTTP/1.1")),
        ("scheme without authority", line("GET http:// HTTP/1.1")),
        ("NUL in the target", line("GET /\0 HTTP/1.1")),
        (
            "invalid UTF-8 in the target",
            b"GET /\xff\xfe HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        ),
        (
            "invalid UTF-8 in the method",
            b"G\xffT / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        ),
        ("NUL only", vec![0; 64]),
        (
            "TLS hello",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
        ),
        ("no version", line("GET /")),
        ("unknown version", line("GET / HTTP/3.7")),
        (
            "HTTP/2 preface",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        ),
        ("empty line", b"\r\n\r\n".to_vec()),
        ("oversized target", line(&format!("GET /{long} HTTP/1.1"))),
        ("oversized header", with_header(&format!("x: {long}"), "")),
        (
            "oversized header without end",
            format!("GET / HTTP/1.1\r\nx: {long}").into_bytes(),
        ),
        ("too many headers", with_header(&many_headers, "")),
        ("header without name", with_header(": x", "")),
        ("header without colon", with_header("x", "")),
        ("NUL in a header", with_header("x: \0", "")),
        ("folded header", with_header("x: a\r\n b", "")),
        ("no host", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("empty host", b"GET / HTTP/1.1\r\nhost:\r\n\r\n".to_vec()),
        ("two hosts", with_header("host: b", "")),
        (
            "invalid host",
            b"GET / HTTP/1.1\r\nhost: a:b:c/\xff\r\n\r\n".to_vec(),
        ),
        (
            "content length overflows",
            with_header("content-length: 18446744073709551616", "x"),
        ),
        (
            "negative content length",
            with_header("content-length: -1", "x"),
        ),
        (
            "content length no number",
            with_header("content-length: \u{ff}", "x"),
        ),
        (
            "two content lengths",
            with_header("content-length: 1\r\ncontent-length: 2", "xy"),
        ),
        (
            "length and chunks",
            with_header(
                "content-length: 1\r\ntransfer-encoding: chunked",
                "0\r\n\r\n",
            ),
        ),
        (
            "unknown transfer encoding",
            with_header("transfer-encoding: pack200", "x"),
        ),
        (
            "unknown expectation",
            with_header("expect: the unexpected", ""),
        ),
    ]
}

/// Requests that are valid or whose body is not read, each with its name.
pub fn unusual_requests() -> Vec<(&'static str, Vec<u8>)> {
    let chunked = |body: &str| with_header("transfer-encoding: chunked", body);
    vec![
        ("asterisk form", line("OPTIONS * HTTP/1.1")),
        ("asterisk form of GET", line("GET * HTTP/1.1")),
        ("absolute form", line("GET http://a:1/x?y HTTP/1.1")),
        ("absolute form without path", line("GET http://a HTTP/1.1")),
        (
            "absolute form, query without path",
            line("GET http://a?b HTTP/1.1"),
        ),
        ("relative path", line("GET x HTTP/1.1")),
        ("empty segments", line("GET ////..//%00%ff HTTP/1.1")),
        ("query only", line("GET ? HTTP/1.1")),
        ("unknown method", line("BREW /pot HTTP/1.1")),
        ("HTTP/1.0", line("GET / HTTP/1.0")),
        (
            "largest content length",
            with_header("content-length: 18446744073709551615", "x"),
        ),
        (
            "largest deadline",
            with_header(
                "sapphirestile-deadline-ms: 18446744073709551615\r\nx-deadline-ms: 18446744073709551615",
                "",
            ),
        ),
        ("chunk size no number", chunked("x\r\n")),
        ("chunk size overflows", chunked("fffffffffffffffff\r\nx")),
        ("largest chunk size", chunked("ffffffffffffffff\r\nx")),
        ("negative chunk size", chunked("-1\r\nx\r\n0\r\n\r\n")),
        (
            "chunk longer than its size",
            chunked("1\r\nxyz\r\n0\r\n\r\n"),
        ),
        (
            "oversized chunk size",
            chunked(&"0".repeat(OVERSIZED_BYTES)),
        ),
        ("chunks without end", chunked("1\r\nx\r\n")),
        (
            "oversized trailer",
            chunked(&format!("0\r\nx: {}\r\n\r\n", "a".repeat(OVERSIZED_BYTES))),
        ),
        ("invalid trailer", chunked("0\r\n\0\r\n\r\n")),
        (
            "continue without body",
            with_header("expect: 100-continue\r\ncontent-length: 9", ""),
        ),
    ]
}

fn line(line: &str) -> Vec<u8> {
    format!("{line}\r\nhost: a\r\n\r\n").into_bytes()
}

fn with_header(header: &str, body: &str) -> Vec<u8> {
    format!("POST /charts/00000000000000aa HTTP/1.1\r\nhost: a\r\n{header}\r\n\r\n{body}")
        .into_bytes()
}
