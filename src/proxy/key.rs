//! Keys of callers: finds them in requests, checks them and keeps them from being forwarded to upstreams.

use std::borrow::Cow;
use std::collections::VecDeque;

use smol_str::SmolStr;
use tide::http::Request;

use crate::code::Code;
use crate::conventions::HttpConventions;
use crate::error::Error;
use crate::error::Result;
use crate::secret;
use crate::secret::KEY_PREFIX;
use crate::target::Target;
use crate::view::Customer;
use crate::view::View;

/// Maximum number of times that text is percent-decoded when it is searched for a key.
const MAX_DECODINGS: usize = 3;
/// Text that begins with `zk.ID.` is taken for a key if at least this many hexadecimal digits follow.
const MIN_SECRET_DIGITS: usize = 32;

/// The key in the headers of a request.
///
/// # Errors
/// `BadRequest` if the headers hold two different keys.
pub(crate) fn find(request: &Request, conventions: &HttpConventions) -> Result<Option<String>> {
    let values = |name: &str| {
        let found = request.header(name).into_iter().flat_map(|v| v.iter());
        found.map(|v| v.as_str().to_owned()).collect::<Vec<_>>()
    };
    let bearer = match conventions.bearer {
        true => values("authorization"),
        false => Vec::new(),
    };
    let bearer = bearer.iter().filter_map(|v| bearer_token(v));
    let plain = values(&conventions.key_header);
    let mut all = bearer.chain(plain.iter().map(|v| v.trim()));
    let first = all.next();
    if all.any(|other| Some(other) != first) {
        return Err(Error::new(Code::BadRequest, "two different keys"));
    }
    Ok(first.filter(|key| !key.is_empty()).map(str::to_owned))
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The digest under which a key is stored.
///
/// # Errors
/// `NoKey`, or `WrongKey` if the key has a wrong form.
pub(crate) fn digest(key: Option<&str>, conventions: &HttpConventions) -> Result<SmolStr> {
    let key = key.ok_or(Code::NoKey)?;
    if !conventions.opaque_keys && !key.starts_with(KEY_PREFIX) {
        return Err(Code::WrongKey.into());
    }
    Ok(secret::digest(key))
}

/// The customer of a key.
///
/// # Errors
/// `WrongKey` or `WithdrawnKey`.
pub(crate) fn customer<'a>(view: &'a View, digest: &SmolStr) -> Result<&'a Customer> {
    let key = view.keys.get(digest).ok_or(Code::WrongKey)?;
    if key.withdrawn {
        return Err(Code::WithdrawnKey.into());
    }
    let customer = view.customers.get(&key.customer);
    customer.ok_or_else(|| Error::new(Code::WrongKey, "the customer of the key does not exist"))
}

/// Refuses a key in the path or in the claim header, from which it cannot be removed before forwarding.
///
/// # Errors
/// `KeyMisplaced`.
pub(crate) fn check_place(
    request: &Request,
    target: &Target,
    key: Option<&str>,
    conventions: &HttpConventions,
) -> Result<()> {
    if holds_key(target.path(), key, conventions) {
        return Err(Error::new(Code::KeyMisplaced, "the path holds a key"));
    }
    let Some(claim_header) = conventions.claim_header.as_deref() else {
        return Ok(());
    };
    let mut ids = request.header(claim_header).into_iter().flat_map(|v| v.iter());
    if ids.any(|v| holds_key(v.as_str(), key, conventions)) {
        let detail = format!("{claim_header} holds a key");
        return Err(Error::new(Code::KeyMisplaced, detail));
    }
    Ok(())
}

/// Refuses a body that holds the key of the request.
///
/// # Errors
/// `KeyMisplaced`.
pub(crate) fn check_body(body: &[u8], key: Option<&str>) -> Result<()> {
    if key.is_some_and(|key| body_holds_key(body, key)) {
        return Err(Error::new(Code::KeyMisplaced, "the body holds the key"));
    }
    Ok(())
}

/// Whether a body holds the key, also percent-encoded. The body is decoded byte by byte, as a decoded copy would take
/// as much memory as itself.
fn body_holds_key(body: &[u8], key: &str) -> bool {
    if contains(body, key.as_bytes()) {
        return true;
    }
    if !body.contains(&b'%') {
        return false;
    }
    let once = || PercentDecoded::new(body.iter().copied());
    let twice = || PercentDecoded::new(once());
    stream_contains(once(), key.as_bytes())
        || stream_contains(twice(), key.as_bytes())
        || stream_contains(PercentDecoded::new(twice()), key.as_bytes())
}

/// Whether a stream of bytes contains a part.
fn stream_contains(bytes: impl Iterator<Item = u8>, part: &[u8]) -> bool {
    let mut window = VecDeque::with_capacity(part.len() + 1);
    for byte in bytes {
        window.push_back(byte);
        if window.len() > part.len() {
            window.pop_front();
        }
        if Some(&byte) == part.last() && window.iter().eq(part) {
            return true;
        }
    }
    false
}

/// Decodes percent-encoded bytes; what is no valid encoding stays as it is.
struct PercentDecoded<I> {
    bytes: I,
    /// Bytes that were read and not returned.
    ahead: VecDeque<u8>,
}

impl<I: Iterator<Item = u8>> PercentDecoded<I> {
    fn new(bytes: I) -> Self {
        let ahead = VecDeque::with_capacity(3);
        Self { bytes, ahead }
    }
}

impl<I: Iterator<Item = u8>> Iterator for PercentDecoded<I> {
    type Item = u8;

    fn next(&mut self) -> Option<u8> {
        let first = self.ahead.pop_front().or_else(|| self.bytes.next())?;
        if first != b'%' {
            return Some(first);
        }
        while self.ahead.len() < 2
            && let Some(byte) = self.bytes.next()
        {
            self.ahead.push_back(byte);
        }
        let decoded = match (self.ahead.front(), self.ahead.get(1)) {
            (Some(high), Some(low)) => hex_byte(*high, *low),
            _ => None,
        };
        if decoded.is_some() {
            self.ahead.clear();
        }
        decoded.or(Some(first))
    }
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    let Some(first) = part.first() else { return false };
    let mut rest = text;
    while let Some(start) = rest.iter().position(|b| b == first) {
        rest = &rest[start..];
        if rest.starts_with(part) {
            return true;
        }
        rest = &rest[1..];
    }
    false
}

/// Whether text holds the key of the request, also percent-encoded, or anything that has the form in which this project
/// issues keys, where a deployment uses that form.
pub(crate) fn holds_key(text: &str, key: Option<&str>, conventions: &HttpConventions) -> bool {
    let is_found = |text: &[u8]| {
        key.is_some_and(|key| contains(text, key.as_bytes()))
            || (!conventions.opaque_keys && has_key_form(text))
    };
    let mut text = Cow::Borrowed(text.as_bytes());
    for _ in 0..MAX_DECODINGS {
        if is_found(&text) {
            return true;
        }
        if !text.contains(&b'%') {
            return false;
        }
        text = Cow::Owned(percent_decode(&text));
    }
    is_found(&text)
}

fn has_key_form(text: &[u8]) -> bool {
    let prefix = KEY_PREFIX.as_bytes();
    let mut windows = text.windows(prefix.len()).enumerate();
    windows.any(|(start, window)| {
        let rest = &text[start + prefix.len()..];
        let dot = rest.iter().position(|b| *b == b'.');
        window.eq_ignore_ascii_case(prefix) && dot.is_some_and(|dot| starts_with_secret(&rest[dot + 1..]))
    })
}

fn starts_with_secret(text: &[u8]) -> bool {
    let digits = text.iter().take_while(|b| b.is_ascii_hexdigit());
    digits.count() >= MIN_SECRET_DIGITS
}

fn percent_decode(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len());
    let mut next = 0;
    while next < text.len() {
        let byte = match text.get(next..next + 3) {
            Some([b'%', high, low]) => hex_byte(*high, *low),
            _ => None,
        };
        out.push(byte.unwrap_or(text[next]));
        next += if byte.is_some() { 3 } else { 1 };
    }
    out
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let digit = |b: u8| (b as char).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
