//! The request as it is forwarded to an upstream.

use std::io;

use async_std::future;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use tide::http::Method;
use tide::http::Request;
use tide::http::headers::HeaderName;
use tide::http::headers::HeaderValue;

use crate::answer::is_hop_by_hop;
use crate::conventions::HttpConventions;
use crate::stage::ChosenUpstream;
use crate::target::Target;

use super::key::holds_key;
use super::request::AdmittedRequest;

/// Headers that are never forwarded, besides those of the HTTP conventions: they concern one connection, or this proxy
/// sets or handles them itself.
const DROPPED: [&str; 3] = ["proxy-authorization", "content-length", "expect"];

/// Longest body that is copied behind its head, in bytes.
const MAX_JOINED_BYTES: usize = 4 << 10;

/// Path and query, without the parameters that hold a key.
pub(crate) fn target(target: &Target, key: Option<&str>, conventions: &HttpConventions) -> String {
    let holds_key = |text: &str| holds_key(text, key, conventions);
    let Some(query) = target.query().filter(|query| holds_key(query)) else {
        return target.path_and_query().to_owned();
    };
    let kept: Vec<&str> = query.split('&').filter(|p| !holds_key(p)).collect();
    let mut text = target.path().to_owned();
    if !kept.is_empty() {
        text.push('?');
        text.push_str(&kept.join("&"));
    }
    text
}

/// Headers of the request that are forwarded to the upstream.
pub(crate) fn headers(
    request: &Request,
    key: Option<&str>,
    conventions: &HttpConventions,
) -> Vec<(HeaderName, HeaderValue)> {
    let connection_tokens: Vec<String> = request
        .header("connection")
        .into_iter()
        .flat_map(|v| v.iter())
        .flat_map(|v| v.as_str().split(','))
        .map(|t| t.trim().to_ascii_lowercase())
        .collect();
    // Header names are in lower case here, keys may not be.
    let lower_key = key.map(str::to_ascii_lowercase);
    let mut kept = Vec::new();
    for (name, values) in request.iter() {
        let text = name.as_str();
        let is_dropped = DROPPED.contains(&text)
            || conventions.is_reserved(text)
            || is_hop_by_hop(text, &connection_tokens);
        if is_dropped || holds_key(text, lower_key.as_deref(), conventions) {
            continue;
        }
        for value in values.iter() {
            match text {
                _ if !holds_key(value.as_str(), key, conventions) => kept.push((name.clone(), value.clone())),
                "cookie" => {
                    let rest = cookies_without_key(value, key, conventions);
                    kept.extend(rest.map(|v| (name.clone(), v)));
                }
                _ => {}
            }
        }
    }
    kept
}

/// The cookies of a header without those that hold a key; `None` if none is left.
fn cookies_without_key(
    value: &HeaderValue,
    key: Option<&str>,
    conventions: &HttpConventions,
) -> Option<HeaderValue> {
    let pairs = value.as_str().split(';').map(str::trim);
    let kept: Vec<&str> = pairs.filter(|p| !holds_key(p, key, conventions)).collect();
    let kept = kept.join("; ");
    if kept.is_empty() {
        return None;
    }
    HeaderValue::from_bytes(kept.into_bytes()).ok()
}

/// Encodes the head for one attempt, and a short body with it, so that both go in one packet.
pub(crate) fn encode(
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    id: &str,
    conventions: &HttpConventions,
) -> Vec<u8> {
    let body = request.body.bytes();
    let mut bytes = Vec::with_capacity(MAX_JOINED_BYTES);
    let mut push = |parts: &[&str]| parts.iter().for_each(|p| bytes.extend_from_slice(p.as_bytes()));
    push(&[request.method.as_ref(), " ", &request.target, " HTTP/1.1\r\n"]);
    let mut has_host = false;
    for (name, value) in &request.headers {
        has_host |= name.as_str() == "host";
        push(&[name.as_str(), ": ", value.as_str(), "\r\n"]);
    }
    if !has_host {
        push(&["host: ", &chosen.address.to_string(), "\r\n"]);
    }
    if !conventions.forwards_id {
        push(&[&conventions.id_header, ": ", id, "\r\n"]);
    }
    push(&[
        &conventions.timeout_header,
        ": ",
        &request.time_left().as_millis().to_string(),
        "\r\n",
    ]);
    if let Some(customer) = &request.customer {
        push(&[&conventions.customer_header, ": ", customer, "\r\n"]);
    }
    if let Some(target_header) = &conventions.target_header {
        push(&[target_header, ": ", &chosen.upstream, "\r\n"]);
    }
    // A request without a body needs no content-length, but some upstreams expect one with these methods.
    let states_length =
        !body.is_empty() || matches!(request.method, Method::Post | Method::Put | Method::Patch);
    if states_length {
        push(&["content-length: ", &body.len().to_string(), "\r\n"]);
    }
    push(&["\r\n"]);
    if joins_body(body) {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Whether [`encode`] adds the body to the head; a longer one is sent from where it is held.
fn joins_body(body: &[u8]) -> bool {
    body.len() <= MAX_JOINED_BYTES
}

/// How much of a request the kernel accepted.
pub(super) enum Written {
    All,
    /// Some bytes, of which the upstream may have received none; with the error, unless the upstream has ended its
    /// side of the connection in order.
    Partial(Option<io::Error>),
    Nothing,
}

/// Writes an encoded head, and the body if it isn't part of it.
pub(super) async fn write(mut stream: &TcpStream, head: &[u8], request: &AdmittedRequest) -> Written {
    let body = request.body.bytes();
    let rest = if joins_body(body) { &[] } else { body };
    let mut is_begun = false;
    for part in [head, rest] {
        let mut rest = part;
        while !rest.is_empty() {
            match future::timeout(request.time_left(), stream.write(rest)).await {
                Ok(Ok(count @ 1..)) => {
                    if !is_begun {
                        request.record_sent();
                    }
                    is_begun = true;
                    rest = &rest[count..];
                }
                Ok(Err(e)) if is_begun => return Written::Partial(connection_error(e)),
                _ if is_begun => return Written::Partial(None),
                _ => return Written::Nothing,
            }
        }
    }
    Written::All
}

/// The error of a write if it shows that the connection failed. A broken pipe doesn't: the upstream had ended its side
/// before it stopped reading, and its answer may be whole.
fn connection_error(error: io::Error) -> Option<io::Error> {
    Some(error).filter(|e| e.kind() != io::ErrorKind::BrokenPipe)
}
