//! Core: what an upstream states about itself in the head of an answer.

use std::time::Duration;
use std::time::SystemTime;

use derive_more::Display;
use strum::IntoStaticStr;

/// Longest pause that an upstream can ask for. A longer one is cut to this, so that a faulty value doesn't
/// exclude the upstream until the VM restarts.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Longest value of a header that is parsed.
const MAX_VALUE_BYTES: usize = 64;

/// A statement of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Notice {
    /// It leaves and gets no new requests.
    Leaving,
    /// It wants no request from this VM for this time.
    Pause(Duration),
    /// It is slow after its start for this time.
    Cold(Duration),
    /// The header cannot be read and has no effect.
    Malformed(Malformed),
}

/// Why a header cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Malformed {
    /// The value is longer than any valid one.
    #[display("too long")]
    Long,
    /// The value is neither a number of seconds nor a date.
    #[display("not a time")]
    NoTime,
    /// The value is a negative number.
    #[display("negative")]
    Negative,
    /// The value is not a whole number of milliseconds.
    #[display("not a number of milliseconds")]
    NoMillis,
    /// The value is neither 0 nor 1.
    #[display("not 0 or 1")]
    NoFlag,
}

/// Reads the header with which an upstream states that it leaves; `None` if it states that it doesn't.
pub fn read_leaving(value: &str) -> Option<Notice> {
    match value.trim() {
        "1" => Some(Notice::Leaving),
        "0" => None,
        _ => Some(Notice::Malformed(Malformed::NoFlag)),
    }
}

/// Reads the header with which an upstream states for how many milliseconds it stays cold, at most [`MAX_PAUSE`];
/// `None` if it is warm.
pub fn read_cold(value: &str) -> Option<Notice> {
    let value = value.trim();
    if value.len() > MAX_VALUE_BYTES {
        return Some(Notice::Malformed(Malformed::Long));
    }
    match value.parse::<u64>() {
        Ok(0) => None,
        Ok(ms) => Some(Notice::Cold(Duration::from_millis(ms).min(MAX_PAUSE))),
        Err(_) => Some(Notice::Malformed(Malformed::NoMillis)),
    }
}

/// Reads `Retry-After`: seconds, whole or with a fraction, or an HTTP date, which is compared with `now`. The
/// result is at most [`MAX_PAUSE`]; `None` for no pause.
pub fn read_retry_after(value: &str, now: SystemTime) -> Option<Notice> {
    let value = value.trim();
    if value.len() > MAX_VALUE_BYTES {
        return Some(Notice::Malformed(Malformed::Long));
    }
    let pause = match value.parse::<f64>() {
        Ok(seconds) if seconds.is_nan() => return Some(Notice::Malformed(Malformed::NoTime)),
        Ok(seconds) if seconds < 0.0 => return Some(Notice::Malformed(Malformed::Negative)),
        Ok(seconds) => Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())),
        Err(_) => match httpdate::parse_http_date(value) {
            Ok(end) => end.duration_since(now).unwrap_or_default().min(MAX_PAUSE),
            Err(_) => return Some(Notice::Malformed(Malformed::NoTime)),
        },
    };
    (!pause.is_zero()).then_some(Notice::Pause(pause))
}
