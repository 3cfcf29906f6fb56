//! The host and the target of a request as the caller sent them; nothing is resolved, decoded or normalised but
//! what HTTP itself says: hosts ignore case and port, and an empty path is `/`.

use smol_str::SmolStr;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;

/// Scheme of a target in absolute form (RFC 9112 section 3.2.2).
const SCHEME: &str = "http://";

/// The host and the target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Host in lower case, without port and without the final dot of a fully qualified name; that of the target takes
    /// precedence over the `host` header.
    pub host: SmolStr,
    /// Path and query.
    text: String,
    /// Length of the path.
    path_length: usize,
}

impl Target {
    /// Parses the target of a request line and the value of the `host` header.
    ///
    /// # Errors
    /// `BadRequest` if HTTP does not allow them.
    pub fn parse(target: &str, host: &str) -> Result<Self> {
        check_characters(target)?;
        let header_host = parse_authority(host)?;
        let (host, text) = match target.as_bytes().first() {
            Some(b'/') => (header_host, target.to_owned()),
            _ => parse_absolute(target)?,
        };
        Ok(Self {
            path_length: text.find('?').unwrap_or(text.len()),
            host,
            text,
        })
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        &self.text[..self.path_length]
    }

    /// The query, without its question mark; `None` if there is no question mark.
    pub fn query(&self) -> Option<&str> {
        self.text[self.path_length..].strip_prefix('?')
    }

    /// Path and query, in the form in which they are sent to an upstream.
    pub fn path_and_query(&self) -> &str {
        &self.text
    }

    /// The path without its dot segments, also percent-encoded ones (RFC 3986 section 5.2.4), as an upstream may
    /// resolve it.
    pub fn resolved_path(&self) -> String {
        let mut kept: Vec<&str> = Vec::new();
        let mut ends_with_dots = false;
        for segment in self.path().split('/').skip(1) {
            let dots = count_dots(segment);
            ends_with_dots = dots > 0;
            match dots {
                0 => kept.push(segment),
                1 => {}
                _ => drop(kept.pop()),
            }
        }
        let mut path: String = kept.iter().flat_map(|segment| ["/", segment]).collect();
        if ends_with_dots || path.is_empty() {
            path.push('/');
        }
        path
    }
}

/// 1 or 2 for a dot segment, 0 for any other.
fn count_dots(segment: &str) -> usize {
    let plain = segment.replace("%2e", ".").replace("%2E", ".");
    match plain.as_str() {
        "." => 1,
        ".." => 2,
        _ => 0,
    }
}

fn check_characters(target: &str) -> Result<()> {
    let is_bad = |b: u8| !b.is_ascii_graphic() || b == b'#';
    match target.bytes().find(|b| is_bad(*b)) {
        Some(byte) => Err(bad_request(format!(
            "byte {byte:#04x} in the request target is not allowed"
        ))),
        None => Ok(()),
    }
}

fn parse_absolute(target: &str) -> Result<(SmolStr, String)> {
    let (scheme, rest) = target.split_at_checked(SCHEME.len()).unwrap_or(("", ""));
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return Err(bad_request(
            "a request target that is neither a path nor an http URL",
        ));
    }
    let (authority, text) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let slash = if text.starts_with('/') { "" } else { "/" };
    Ok((parse_authority(authority)?, format!("{slash}{text}")))
}

/// The host of `HOST` or `HOST:PORT`.
fn parse_authority(authority: &str) -> Result<SmolStr> {
    let bad = || bad_request("a host that HTTP does not allow");
    let (host, port) = match authority.rfind(']') {
        Some(end) => authority.split_at(end + 1),
        None => authority.split_at(authority.find(':').unwrap_or(authority.len())),
    };
    let port = match port {
        "" => "",
        port => port.strip_prefix(':').ok_or_else(bad)?,
    };
    if !port.is_empty() && (!port.bytes().all(|b| b.is_ascii_digit()) || port.parse::<u16>().is_err()) {
        return Err(bad());
    }
    let is_valid = match host.strip_prefix('[').and_then(|h| h.strip_suffix(']')) {
        Some(literal) => literal.parse::<std::net::Ipv6Addr>().is_ok(),
        None => host.bytes().all(is_name_byte),
    };
    let host = host.strip_suffix('.').unwrap_or(host);
    if host.is_empty() || !is_valid {
        return Err(bad());
    }
    Ok(host.to_ascii_lowercase().into())
}

/// Whether a byte may stand in the name of a host (RFC 3986 section 3.2.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~%!$&'()*+;=".contains(&byte)
}

fn bad_request(detail: impl Into<String>) -> Error {
    Error::new(Code::BadRequest, detail)
}
