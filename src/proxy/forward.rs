//! What an upstream gets of a request.

use std::io;

use async_h1::client::Encoder;
use async_std::io::ReadExt;
use smol_str::SmolStr;
use tide::http::Body;
use tide::http::Request;
use tide::http::Url;
use tide::http::headers::HeaderName;
use tide::http::headers::HeaderValue;

use crate::answer::is_hop_by_hop;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::stage::Pick;

use super::job::Job;
use super::key::holds_key;

/// Headers of callers that upstreams never get: places of keys, what this proxy has done itself,
/// and names under which upstreams trust this proxy.
const DROPPED: [&str; 9] = [
    "authorization",
    "x-api-key",
    "proxy-authorization",
    "content-length",
    "expect",
    "x-customer",
    "x-request-id",
    "x-request-timeout-ms",
    "zinnia-run",
];

/// Path and query without parameters that hold a key.
pub(crate) fn target(url: &Url, key: Option<&str>) -> String {
    let mut target = url.path().to_owned();
    let query = url.query().unwrap_or_default();
    let kept: Vec<&str> = query.split('&').filter(|p| !holds_key(p, key)).collect();
    let kept = kept.join("&");
    if !kept.is_empty() {
        target.push('?');
        target.push_str(&kept);
    }
    target
}

/// Headers for the upstream.
pub(crate) fn headers(request: &Request, key: Option<&str>) -> Vec<(HeaderName, HeaderValue)> {
    let listed: Vec<String> = request
        .header("connection")
        .into_iter()
        .flat_map(|v| v.iter())
        .flat_map(|v| v.as_str().split(','))
        .map(|t| t.trim().to_ascii_lowercase())
        .collect();
    let mut kept = Vec::new();
    for (name, values) in request.iter() {
        let text = name.as_str();
        let foreign = DROPPED.contains(&text) || is_hop_by_hop(text, &listed);
        // Header names are lower case here, keys need not be.
        if foreign || holds_key(text, key.map(str::to_ascii_lowercase).as_deref()) {
            continue;
        }
        for value in values.iter() {
            match text {
                "cookie" => kept.extend(cookies(value, key).map(|v| (name.clone(), v))),
                _ if holds_key(value.as_str(), key) => {}
                _ => kept.push((name.clone(), value.clone())),
            }
        }
    }
    kept
}

fn cookies(value: &HeaderValue, key: Option<&str>) -> Option<HeaderValue> {
    let pairs = value.as_str().split(';').map(str::trim);
    let kept: Vec<&str> = pairs.filter(|p| !holds_key(p, key)).collect();
    let kept = kept.join("; ");
    if kept.is_empty() {
        return None;
    }
    HeaderValue::from_bytes(kept.into_bytes()).ok()
}

/// The bytes of one attempt.
///
/// # Errors
/// `BadRequest` if the target and the address make no URL.
pub(crate) async fn encode(job: &Job, pick: &Pick, id: &SmolStr) -> Result<Vec<u8>> {
    let url = Url::parse(&format!("http://{}{}", pick.address, job.target))
        .map_err(|e| Error::new(Code::BadRequest, format!("request target: {e}")))?;
    let mut request = Request::new(job.method, url);
    request.set_body(Body::from_bytes(job.body.clone()));
    // `set_body` invents a content type; the caller's follows, if there is one.
    request.remove_header("content-type");
    for (name, value) in &job.headers {
        request.append_header(name.clone(), value.clone());
    }
    request.insert_header("x-request-id", id.as_str());
    request.insert_header("x-request-timeout-ms", job.left().as_millis().to_string());
    if let Some(customer) = &job.customer {
        let value = HeaderValue::from_bytes(customer.as_bytes().to_vec())
            .map_err(|_| Error::new(Code::BadRequest, "the customer's name is not ASCII"))?;
        request.insert_header("x-customer", value);
    }
    let mut bytes = Vec::with_capacity(job.body.len() + 512);
    let failed = |e: io::Error| Error::new(Code::BadRequest, e.to_string());
    Encoder::new(request)
        .read_to_end(&mut bytes)
        .await
        .map_err(failed)?;
    Ok(bytes)
}
