//! HTTP requests to the ports of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::TOKEN;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_clients::http::PeerAddress;

const LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_secs(20),
    response_max_bytes: 8 * 1_024 * 1_024,
};

/// Sends one request on a new connection; `None` when no complete response arrives within
/// 20 s, or the response is larger than 8 MiB.
#[must_use]
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<HttpResponse> {
    let views: Vec<HeaderView<'_>> = headers
        .iter()
        .map(|(name, value)| HeaderView {
            name,
            value: value.as_bytes(),
        })
        .collect();
    let peer = PeerAddress::try_from(address).ok()?;
    let request = CallRequest {
        method,
        path,
        headers: &views,
        body,
    };
    HttpClient::new(peer, LIMITS)
        .call("call of a test", &request)
        .ok()
}

/// Sends a request to an operators' port, authorized by [`TOKEN`]. Returns the status and
/// the JSON body of the response; the body is `Null` when it is not JSON. `None` as for
/// [`call`]. A `Null` request body is sent as an empty one.
#[must_use]
pub fn call_json(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [("authorization", authorization.as_str())];
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    let response = call(address, method, path, &headers, &body)?;
    let value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    Some((response.status, value))
}
