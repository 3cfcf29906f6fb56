//! Answers to callers: refusals by the proxy, and answers of upstreams, which are read within size limits.

use std::future::poll_fn;
use std::io;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::io::ReadExt;
use log::info;
use tide::http::Body;
use tide::http::Method;
use tide::http::Response;
use tide::http::StatusCode;
use tide::http::headers::HeaderName;
use tide::http::headers::HeaderValue;
use tide::http::mime;

use crate::code::Code;
use crate::code::Execution;
use crate::conventions::HttpConventions;
use crate::error::Error;
use crate::error::Result;
use crate::frame::BodyReader;
use crate::frame::BufferedStream;
use crate::frame::Framing;
use crate::stage::KeptAnswer;

/// Largest head of an upstream's answer, in bytes, with the interim responses before it; four times the limit
/// for the head of a request.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Largest number of headers in an upstream's answer.
const MAX_RESPONSE_HEADERS: usize = 200;
/// Largest body, in bytes, that is read to its end before the caller gets a byte, so that an idempotent
/// request can be retried after an incomplete answer, and so that the answer can be kept with a claim.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Headers that apply to one connection and are not forwarded (RFC 9110 section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header applies to one connection; `listed` holds the tokens of the `connection` header.
pub(crate) fn is_hop_by_hop(name: &str, listed: &[String]) -> bool {
    HOP_BY_HOP.contains(&name) || listed.iter().any(|l| l == name)
}

/// The answer that the proxy gives for an error. The upstream may have run the request before the error.
pub(crate) fn refusal(error: &Error) -> Response {
    refusal_with(error, error.code.execution())
}

/// As [`refusal`], with `execution` instead of the one that the code implies.
pub(crate) fn refusal_with(error: &Error, execution: Execution) -> Response {
    let code = error.code;
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::ServiceUnavailable);
    let mut response = Response::new(status);
    let body = serde_json::json!({
        "code": code.number(),
        "name": code.to_string(),
        "run": execution,
        "detail": error.detail,
    });
    response.set_body(body.to_string());
    response.set_content_type(mime::JSON);
    response.insert_header("zinnia-code", code.number().to_string());
    response.insert_header("zinnia-run", execution.to_string());
    if let Some(delay) = error.delay.or(code.retry_after()) {
        response.insert_header("retry-after", format!("{:.3}", delay.as_secs_f64()));
    }
    response
}

/// The head of an upstream's answer.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    /// Headers with lower-case names, without hop-by-hop headers, `content-length` and `zinnia-*`.
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    pub(crate) framing: Framing,
    /// Content length that an answer without a body states, such as one to HEAD.
    pub(crate) declared_length: Option<u64>,
    /// Whether the upstream closes the connection after this answer.
    pub(crate) close: bool,
    /// How long the upstream keeps an idle connection open, if it states a time.
    pub(crate) idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// The first value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.as_str() == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Whether the upstream states that it did not run the request.
    pub(crate) fn is_not_run(&self, conventions: &HttpConventions) -> bool {
        conventions.is_not_run(self.status as u16, |name| self.header(name))
    }

    /// A response with this head and without a body.
    pub(crate) fn to_response(&self) -> Response {
        let mut response = Response::new(self.status);
        for (name, value) in &self.headers {
            response.append_header(name.clone(), value.clone());
        }
        response.insert_header("zinnia-run", "yes");
        response
    }

    /// The answer in the form in which it is kept with a claim.
    pub(crate) fn to_kept(&self, body: Option<Vec<u8>>) -> KeptAnswer {
        let pair = |(name, value): &(HeaderName, HeaderValue)| (name.as_str().into(), value.to_string());
        KeptAnswer {
            status: self.status as u16,
            headers: self.headers.iter().map(pair).collect(),
            body,
        }
    }
}

/// The response for an answer that was kept with a claim; a refusal if its body was too large to keep.
///
/// # Errors
/// `OutcomeUnknown` if its status or a header is not valid: other VMs keep answers, and nothing else checks what they
/// send.
pub(crate) fn kept_response(kept: KeptAnswer) -> Result<Response> {
    let invalid = |what: &str| Error::new(Code::OutcomeUnknown, format!("the kept answer has {what}"));
    let status = StatusCode::try_from(kept.status).ok();
    let status = status
        .filter(|status| !status.is_informational())
        .ok_or_else(|| invalid(&format!("the status {}", kept.status)))?;
    if !kept.headers.iter().all(|(name, _)| is_name(name)) {
        return Err(invalid("an invalid header name"));
    }
    if !kept.headers.iter().all(|(_, value)| is_value(value)) {
        return Err(invalid("an invalid header value"));
    }
    let Some(body) = kept.body else {
        return Ok(refusal(&Code::AnswerNotKept.into()));
    };
    let mut response = Response::new(status);
    for (name, value) in &kept.headers {
        response.append_header(name.as_str(), value);
    }
    set_body(&mut response, Body::from_bytes(body));
    response.insert_header("zinnia-run", "yes");
    Ok(response)
}

/// Whether a text is a header name (RFC 9110 section 5.1); `HeaderName` accepts any ASCII.
fn is_name(text: &str) -> bool {
    let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_token)
}

/// Whether a text is a header value without control bytes; `HeaderValue` accepts any ASCII.
fn is_value(text: &str) -> bool {
    text.bytes().all(|b| b == b'\t' || (b' '..=b'~').contains(&b))
}

/// Sets the body without the default content type that `Response::set_body` adds.
pub(crate) fn set_body(response: &mut Response, body: Body) {
    let untyped = response.header("content-type").is_none();
    response.set_body(body);
    if untyped {
        response.remove_header("content-type");
    }
}

/// Reads the head of an answer. Interim responses are skipped but count towards its size: otherwise an
/// upstream that sends them without a pause would be read without end, because a timeout ends only reads that
/// wait.
///
/// # Errors
/// `UnexpectedEof` if the connection ended, `InvalidData` if the head is not valid or too large, and the errors
/// of the connection.
pub(crate) async fn read_head(conn: &mut BufferedStream, method: Method) -> io::Result<ResponseHead> {
    let mut interim = 0;
    loop {
        let size = match parse(conn.data(), method)? {
            Some((head, used)) => {
                conn.consume(used);
                if !head.status.is_informational() {
                    return Ok(head);
                }
                interim += used;
                if interim < MAX_RESPONSE_HEAD_BYTES {
                    continue;
                }
                interim
            }
            None => interim + conn.data().len(),
        };
        if size >= MAX_RESPONSE_HEAD_BYTES {
            return Err(invalid("the head of the answer is too large"));
        }
        if poll_fn(|cx| conn.poll_fill(cx)).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Parses a head and returns it with its length in bytes; `None` if the head is not complete.
fn parse(data: &[u8], method: Method) -> io::Result<Option<(ResponseHead, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_RESPONSE_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let used = match parsed.parse(data) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(e) => return Err(invalid(&format!("the head of the answer is not HTTP: {e}"))),
    };
    // A field name that begins with LF: httparse takes it for the blank line, and the rest of the head for the body.
    if data[..used].ends_with(b"\r\n\n") {
        return Err(invalid("the head of the answer ends with a bare LF"));
    }
    let status = parsed.code.unwrap_or_default();
    let status = StatusCode::try_from(status)
        .map_err(|_| invalid(&format!("the answer has the unknown status {status}")))?;
    if status == StatusCode::SwitchingProtocols {
        return Err(invalid("the upstream switched protocols"));
    }
    let mut all = Vec::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec());
        let value = HeaderValue::from_bytes(header.value.to_vec());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(invalid("the answer has a header that is not ASCII"));
        };
        all.push((name, value));
    }
    let length = length(&all)?;
    let chunked = is_chunked(&all)?;
    if chunked && length.is_some() {
        return Err(invalid("the answer has content-length and transfer-encoding"));
    }
    let bodiless = method == Method::Head
        || status.is_informational()
        || matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    let framing = match (bodiless, chunked, length) {
        (true, _, _) => Framing::Length(0),
        (_, true, _) => Framing::Chunked,
        (_, _, Some(length)) => Framing::Length(length),
        _ => Framing::UntilClose,
    };
    let listed = tokens(&all, "connection");
    let close = parsed.version != Some(1) || listed.iter().any(|t| t == "close");
    let idle_timeout = tokens(&all, "keep-alive")
        .iter()
        .find_map(|t| t.strip_prefix("timeout=")?.parse().ok())
        .map(Duration::from_secs);
    all.retain(|(name, _)| {
        let name = name.as_str();
        // Only the proxy may set `zinnia-` headers; async-h1 writes the length of the body.
        let reserved = name.starts_with("zinnia-") || name == "content-length";
        !reserved && !is_hop_by_hop(name, &listed)
    });
    let head = ResponseHead {
        status,
        headers: all,
        framing,
        declared_length: length.filter(|_| bodiless),
        close,
        idle_timeout,
    };
    Ok(Some((head, used)))
}

fn values<'a>(
    headers: &'a [(HeaderName, HeaderValue)],
    name: &'a str,
) -> impl Iterator<Item = &'a str> + use<'a> {
    let found = headers.iter().filter(move |(n, _)| n.as_str() == name);
    found.map(|(_, value)| value.as_str())
}

fn tokens(headers: &[(HeaderName, HeaderValue)], name: &str) -> Vec<String> {
    let parts = values(headers, name).flat_map(|v| v.split(','));
    parts.map(|p| p.trim().to_ascii_lowercase()).collect()
}

fn length(headers: &[(HeaderName, HeaderValue)]) -> io::Result<Option<u64>> {
    let mut found = values(headers, "content-length");
    let Some(first) = found.next() else {
        return Ok(None);
    };
    if found.next().is_some() || !first.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid("the answer has a bad content-length"));
    }
    let number = first.parse();
    number
        .map(Some)
        .map_err(|_| invalid("the answer has a bad content-length"))
}

fn is_chunked(headers: &[(HeaderName, HeaderValue)]) -> io::Result<bool> {
    let codings = tokens(headers, "transfer-encoding");
    match codings.as_slice() {
        [] => Ok(false),
        [one] if one == "chunked" => Ok(true),
        _ => Err(invalid("the answer has an unknown transfer-encoding")),
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a body to its end; `None` if it is longer than [`MAX_BUFFERED_BYTES`].
///
/// The bytes read so far are appended to `body`, also for `None` and an error.
pub(crate) async fn read_bounded(reader: &mut BodyReader, body: &mut Vec<u8>) -> io::Result<Option<()>> {
    let mut part = vec![0; 16 << 10];
    while body.len() <= MAX_BUFFERED_BYTES {
        let count = reader.read(&mut part).await?;
        if count == 0 {
            return Ok(Some(()));
        }
        body.extend_from_slice(&part[..count]);
    }
    Ok(None)
}

/// Waits for the first byte of an answer; false if the connection ended.
///
/// # Errors
/// `TimedOut` at `until`, and the errors of the connection.
pub(crate) async fn wait_first_byte(conn: &mut BufferedStream, until: Instant) -> io::Result<bool> {
    let timeout = until.saturating_duration_since(Instant::now());
    let fill = poll_fn(|cx| conn.poll_fill(cx));
    match future::timeout(timeout, fill).await {
        Ok(count) => Ok(count? > 0),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Logs why an attempt got no complete answer.
pub(crate) fn log_incomplete(id: &str, upstream: &str, reason: &str) {
    info!("answer incomplete: id={id} upstream={upstream} reason=\"{reason}\"");
}
