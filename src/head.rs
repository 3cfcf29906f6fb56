//! Reads request heads with httparse and validates them.

use std::future::poll_fn;
use std::io;
use std::str;
use std::str::FromStr;
use std::time::Duration;

use async_std::future;
use tide::http::Method;
use tide::http::Request;
use tide::http::Url;
use tide::http::Version;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::frame::BufferedStream;
use crate::frame::Framing;
use crate::target::Target;

/// Largest request head, in bytes.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Longest request target, in bytes. While a head is incomplete, its first line, with the method and the
/// version, has the same limit.
pub const MAX_TARGET_BYTES: usize = 8 << 10;
/// Largest number of headers in a request.
pub const MAX_REQUEST_HEADERS: usize = 100;
/// Memory of a request beside its head and body, in bytes: its tasks, buffers and connection to an upstream. With 8 KiB,
/// 900 requests at once took an entry VM of 64 MB to 62 MB in a debug build.
const REQUEST_BYTES: usize = 16 << 10;
/// Memory of a parsed head and of its copy for the upstream, for each byte as it was sent. Fields of a few bytes take most;
/// an estimate from the sizes of the types, not measured: about 250 bytes for a field of 16 bytes.
const HEAD_FACTOR: usize = 16;
/// Scheme and host of the URL of each request; see [`sent_target`].
const URL_BASE: &str = "http://localhost";
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A valid request head.
#[derive(Debug)]
pub(crate) struct Head {
    /// The request, still without its body.
    pub(crate) request: Request,
    /// Where the body ends.
    pub(crate) framing: Framing,
    /// Whether the caller asked for the connection to be closed.
    pub(crate) close: bool,
    /// Length of the head as it was sent, in bytes.
    pub(crate) length: usize,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

impl Head {
    /// Memory that the request takes without its body, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        REQUEST_BYTES + HEAD_FACTOR * self.length
    }
}

/// Host and target of a request that [`parse`] made, as the caller sent them. The URL of the request has a normalised
/// path and decides nothing.
pub(crate) fn sent_target(request: &Request) -> Result<&Target> {
    let target = request.ext().get::<Target>();
    target.ok_or_else(|| bad_request("the request has no target"))
}

/// Reads one head within the timeout.
///
/// # Errors
/// `SlowSender`, `HeadTooLarge`, `TargetTooLong` and the errors of [`parse`]; after an error the
/// connection must be closed. `Io` if the connection failed or ended before a head, so that no answer can
/// be sent.
pub(crate) async fn read(conn: &mut BufferedStream, timeout: Duration) -> Result<Head> {
    future::timeout(timeout, read_untimed(conn))
        .await
        .unwrap_or_else(|_| {
            let detail = format!("the head was not complete after {timeout:?}");
            Err(Error::new(Code::SlowSender, detail))
        })
}

async fn read_untimed(conn: &mut BufferedStream) -> Result<Head> {
    let mut searched = 0;
    loop {
        skip_empty_lines(conn);
        check_start(conn.data())?;
        if let Some(end) = find_end(conn.data(), searched) {
            let head = parse(&conn.data()[..end]);
            conn.consume(end);
            return head;
        }
        searched = conn.data().len();
        check_size(conn.data())?;
        let count = poll_fn(|cx| conn.poll_fill(cx)).await;
        if count.map_err(|e| Error::io("caller", &e))? > 0 {
            continue;
        }
        let code = match conn.data().is_empty() {
            true => Code::Io,
            false => Code::BadRequest,
        };
        return Err(Error::new(code, "the connection ended inside the head"));
    }
}

/// Skips empty lines before a request, as RFC 9112 section 2.2 allows.
fn skip_empty_lines(conn: &mut BufferedStream) {
    while conn.data().starts_with(b"\r\n") {
        conn.consume(2);
    }
}

/// Refuses bytes that cannot start a request, such as a TLS handshake, before the rest arrives.
fn check_start(data: &[u8]) -> Result<()> {
    match data.first() {
        Some(byte) if !byte.is_ascii_alphabetic() && *byte != b'\r' => {
            Err(bad_request("the request does not start with a method"))
        }
        _ => Ok(()),
    }
}

/// Position after the end of the head; the first `searched` bytes were searched before.
fn find_end(data: &[u8], searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(HEAD_END.len() - 1);
    let offset = data[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END)?;
    let end = from + offset + HEAD_END.len();
    (end <= MAX_REQUEST_HEAD_BYTES).then_some(end)
}

/// Refuses a head that is too large, or whose first line is longer than [`MAX_TARGET_BYTES`].
fn check_size(data: &[u8]) -> Result<()> {
    let line_length = data.iter().position(|b| *b == b'\n').unwrap_or(data.len());
    if line_length > MAX_TARGET_BYTES {
        return Err(Code::TargetTooLong.into());
    }
    if data.len() >= MAX_REQUEST_HEAD_BYTES {
        let detail = format!("the head is larger than {MAX_REQUEST_HEAD_BYTES} bytes");
        return Err(Error::new(Code::HeadTooLarge, detail));
    }
    Ok(())
}

/// Parses and validates a complete head.
///
/// # Errors
/// `BadRequest`, `BadFraming`, `BadLength`, `BadVersion`, `BadExpect`, `Unsupported`,
/// `HeadTooLarge` (too many headers) or `TargetTooLong`.
pub(crate) fn parse(bytes: &[u8]) -> Result<Head> {
    check_line_ends(bytes)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_REQUEST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(bad_request("the head is not complete")),
        Err(httparse::Error::TooManyHeaders) => {
            let detail = format!("more than {MAX_REQUEST_HEADERS} headers");
            return Err(Error::new(Code::HeadTooLarge, detail));
        }
        Err(httparse::Error::Version) => return Err(Code::BadVersion.into()),
        Err(e) => return Err(bad_request(&e.to_string())),
    }
    if parsed.version != Some(1) {
        return Err(Code::BadVersion.into());
    }
    let method = method(parsed.method.unwrap_or_default())?;
    let target = target(parsed.path.unwrap_or_default(), parsed.headers)?;
    let url = Url::parse(&format!("{URL_BASE}{}", target.path_and_query()));
    let url = url.map_err(|e| bad_request(&format!("the request target: {e}")))?;
    let mut request = Request::new(method, url);
    request.ext_mut().insert(target);
    request.set_version(Some(Version::Http1_1));
    for header in parsed.headers.iter() {
        request.append_header(header.name, header_value(header)?);
    }
    Ok(Head {
        framing: framing(&request)?,
        close: has_token(&request, "connection", "close"),
        expects_continue: expects_continue(&request)?,
        length: bytes.len(),
        request,
    })
}

/// Refuses bare LF as the end of a line, which httparse accepts and other parsers do not, and folded headers.
fn check_line_ends(bytes: &[u8]) -> Result<()> {
    let bare_lf = |pair: &[u8]| pair[1] == b'\n' && pair[0] != b'\r';
    if bytes.windows(2).any(bare_lf) {
        return Err(bad_request("a line ends without CR"));
    }
    let folded = |pair: &[u8]| pair[0] == b'\n' && matches!(pair[1], b' ' | b'\t');
    if bytes.windows(2).any(folded) {
        return Err(bad_request("a folded header line"));
    }
    Ok(())
}

fn method(name: &str) -> Result<Method> {
    let method = Method::from_str(name).ok();
    // `Method::from_str` ignores case, but methods are case-sensitive.
    let method = method.filter(|m| m.as_ref() == name && *m != Method::Connect);
    method.ok_or_else(|| Error::new(Code::Unsupported, "the method is not supported"))
}

fn target(path: &str, headers: &[httparse::Header<'_>]) -> Result<Target> {
    let mut hosts = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("host"));
    let host = hosts.next().ok_or_else(|| bad_request("no host header"))?;
    if hosts.next().is_some() {
        return Err(bad_request("more than one host header"));
    }
    if path.len() > MAX_TARGET_BYTES {
        return Err(Code::TargetTooLong.into());
    }
    Target::parse(path, header_value(host)?)
}

/// The value as text; it must be ASCII, because `http_types::HeaderValue` accepts nothing else.
fn header_value<'a>(header: &httparse::Header<'a>) -> Result<&'a str> {
    let text = str::from_utf8(header.value).ok().filter(|text| text.is_ascii());
    text.ok_or_else(|| bad_request("a header value that is not ASCII"))
}

fn framing(request: &Request) -> Result<Framing> {
    let length = request.header("content-length");
    let coding = request.header("transfer-encoding");
    let (length, coding) = match (length, coding) {
        (None, None) => return Ok(Framing::Length(0)),
        (Some(_), Some(_)) => {
            return Err(Error::new(
                Code::BadFraming,
                "content-length and transfer-encoding",
            ));
        }
        pair => pair,
    };
    if let Some(coding) = coding {
        return transfer_framing(coding.iter().map(|v| v.as_str()));
    }
    let mut values = length.into_iter().flat_map(|l| l.iter());
    let first = values.next().map(|v| v.as_str()).unwrap_or_default();
    if values.next().is_some() {
        return Err(Error::new(Code::BadFraming, "more than one content-length"));
    }
    // `str::parse` also accepts a plus sign.
    let number = first.bytes().all(|b| b.is_ascii_digit()).then(|| first.parse());
    match number {
        Some(Ok(number)) => Ok(Framing::Length(number)),
        _ => Err(Error::new(
            Code::BadFraming,
            "content-length is not a number of 64 bits",
        )),
    }
}

fn transfer_framing<'a>(values: impl Iterator<Item = &'a str>) -> Result<Framing> {
    let codings: Vec<String> = values
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    if codings.iter().any(|c| c != "chunked") {
        return Err(Error::new(
            Code::Unsupported,
            "a transfer-encoding other than chunked",
        ));
    }
    if codings.len() != 1 {
        return Err(Error::new(Code::BadLength, "chunked more than once"));
    }
    Ok(Framing::Chunked)
}

fn expects_continue(request: &Request) -> Result<bool> {
    let Some(values) = request.header("expect") else {
        return Ok(false);
    };
    if values.iter().count() == 1 && values.as_str().eq_ignore_ascii_case("100-continue") {
        return Ok(true);
    }
    Err(Code::BadExpect.into())
}

/// Whether a header that holds a list of tokens contains a token, ignoring case.
pub(crate) fn has_token(request: &Request, name: &str, token: &str) -> bool {
    let values = request.header(name).into_iter().flat_map(|v| v.iter());
    values
        .flat_map(|v| v.as_str().split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

fn bad_request(detail: &str) -> Error {
    Error::new(Code::BadRequest, detail)
}

/// The error for a body that could not be read.
pub(crate) fn body_error(error: &io::Error) -> Error {
    let detail = match error.kind() {
        io::ErrorKind::TimedOut => return Code::SlowSender.into(),
        io::ErrorKind::InvalidData => error.to_string(),
        _ => "the connection ended inside the body".into(),
    };
    Error::new(Code::BadRequest, detail)
}
