//! Numbered result codes; docs/CODES.md lists them and a test compares both.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumMessage;
use strum::FromRepr;
use strum::IntoStaticStr;

/// Whether an upstream executed the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, serde::Serialize)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Execution {
    /// No upstream executed it; sending it again is safe.
    No,
    /// An upstream may have executed it.
    Unknown,
    /// An upstream executed it.
    Yes,
}

/// Result of a request, an operator call or a process.
///
/// The hundreds digit is the group: 1 refused before it was sent, 2 sent, 3 operator and
/// process calls, 4 process errors.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumIter,
    EnumMessage,
    FromRepr,
    IntoStaticStr,
)]
#[repr(u16)]
pub enum Code {
    #[strum(message = "success")]
    Ok = 0,

    #[strum(message = "the request carries no key and its route is not open to all")]
    NoKey = 101,
    #[strum(message = "the key is not known")]
    WrongKey = 102,
    #[strum(message = "the key was withdrawn")]
    WithdrawnKey = 103,
    #[strum(message = "no route matches the request")]
    NoRoute = 104,
    #[strum(message = "the customer has used up its rate and burst")]
    OverRate = 105,
    #[strum(message = "no upstream of the service can take the request")]
    NoUpstream = 106,
    #[strum(message = "the queue of the customer or of the VM is full")]
    Overloaded = 107,
    #[strum(message = "this VM cannot confirm that its configuration is current")]
    ConfigStale = 108,
    #[strum(message = "the claim of the request id could not be recorded on a majority of its holders")]
    ClaimUnavailable = 109,
    #[strum(message = "the route requires an idempotency-key header")]
    IdRequired = 110,
    #[strum(message = "the same request crashed several upstreams and is blocked for a while")]
    Quarantined = 111,
    #[strum(message = "the deadline passed before the request was sent")]
    DeadlineBefore = 112,
    #[strum(message = "this VM is stopping")]
    Stopping = 113,
    #[strum(message = "the request is malformed")]
    BadRequest = 114,
    #[strum(message = "the request body is larger than the limit")]
    BodyTooLarge = 115,
    #[strum(message = "the request head is larger than the limit")]
    HeadTooLarge = 116,
    #[strum(message = "the caller sent the request too slowly")]
    SlowSender = 117,
    #[strum(message = "a body with an unknown length or transfer coding")]
    BadLength = 118,
    #[strum(message = "the key stands in the path or in the body of the request")]
    KeyMisplaced = 119,
    #[strum(message = "the same request id was used with different content")]
    IdReused = 120,
    #[strum(message = "both length headers, or a content-length that is repeated or not a number")]
    BadFraming = 121,
    #[strum(message = "the request target is longer than the limit")]
    TargetTooLong = 122,
    #[strum(message = "a method or transfer coding that is not supported")]
    Unsupported = 123,
    #[strum(message = "an HTTP version other than 1.1")]
    BadVersion = 124,
    #[strum(message = "an expectation other than 100-continue")]
    BadExpect = 125,
    #[strum(message = "no VM grants tokens of the customer at the moment")]
    LimitUnavailable = 126,

    #[strum(message = "the request was sent and its outcome is unknown")]
    OutcomeUnknown = 201,
    #[strum(message = "every attempt of an idempotent request failed")]
    UpstreamFailed = 202,
    #[strum(message = "the deadline passed after the request was sent")]
    DeadlineAfter = 203,
    #[strum(message = "an earlier attempt with this request id was answered; its answer is not kept")]
    AnswerNotKept = 204,
    #[strum(message = "another attempt with this request id is running")]
    InProgress = 205,
    #[strum(message = "the caller closed its connection before the answer")]
    CallerLeft = 206,

    #[strum(message = "the object has another version than expected")]
    Conflict = 301,
    #[strum(message = "the object does not exist")]
    NotFound = 302,
    #[strum(message = "a parameter is missing or out of range")]
    BadParams = 303,
    #[strum(message = "this replica is not the leader and cannot reach it")]
    NotLeader = 304,
    #[strum(message = "no majority of control replicas answered in time; the change may still be accepted")]
    NoQuorum = 305,
    #[strum(message = "the secret is missing or wrong")]
    Unauthorized = 306,
    #[strum(message = "the change is durable but not yet in force on a majority of witnesses")]
    Pending = 307,
    #[strum(message = "the change id was used with different content")]
    ChangeIdReused = 308,
    #[strum(message = "the object is still referred to by another")]
    InUse = 309,
    #[strum(message = "the other process did not answer in time")]
    Timeout = 310,
    #[strum(message = "the other process could not be reached")]
    Unreachable = 311,
    #[strum(message = "the other process answered with something that could not be read")]
    BadAnswer = 312,
    #[strum(message = "the deployment has no failure domain of this name")]
    UnknownDomain = 313,
    #[strum(message = "as many failure domains as possible are evacuated already")]
    EvacuationLimit = 314,
    #[strum(message = "a connected control replica runs an older build that does not know the change")]
    MixedBuilds = 315,

    #[strum(message = "the settings are not valid")]
    Settings = 401,
    #[strum(message = "an input or output operation failed")]
    Io = 402,
    #[strum(message = "a file on disk is damaged")]
    Corrupt = 403,
    #[strum(message = "an address cannot be bound")]
    Bind = 404,
    // Also for a duplicate RPC method or metric, and for logging that is started twice.
    #[strum(message = "a service is missing or registered twice")]
    Kernel = 405,
}

impl Code {
    /// The number that appears in headers, JSON bodies and JSON-RPC errors.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// The code for a number, if there is one.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::from_repr(number)
    }

    /// One line that explains the code.
    pub fn text(self) -> &'static str {
        self.get_message().unwrap_or_default()
    }

    /// Whether an upstream executed a request that ended with this code.
    pub fn execution(self) -> Execution {
        match self {
            Code::Ok | Code::AnswerNotKept => Execution::Yes,
            code if code.number() / 100 == 1 => Execution::No,
            _ => Execution::Unknown,
        }
    }

    /// HTTP status of an answer that the proxy itself makes.
    pub fn status(self) -> u16 {
        match self {
            Code::Ok => 200,
            Code::NoKey | Code::WrongKey | Code::WithdrawnKey => 401,
            Code::NoRoute => 404,
            Code::OverRate => 429,
            Code::BadRequest | Code::IdRequired | Code::KeyMisplaced | Code::BadFraming => 400,
            Code::SlowSender => 408,
            Code::InProgress => 409,
            Code::BadLength => 411,
            Code::BodyTooLarge => 413,
            Code::TargetTooLong => 414,
            Code::BadExpect => 417,
            Code::IdReused | Code::Quarantined => 422,
            Code::HeadTooLarge => 431,
            Code::Unsupported => 501,
            Code::BadVersion => 505,
            Code::UpstreamFailed | Code::OutcomeUnknown | Code::CallerLeft => 502,
            Code::DeadlineBefore | Code::DeadlineAfter => 504,
            Code::AnswerNotKept => 200,
            _ => 503,
        }
    }

    /// Delay before a retry, for refusals that a retry may avoid.
    pub fn retry_after(self) -> Option<Duration> {
        let delay_ms = match self {
            // Another VM can serve the request at once.
            Code::Stopping => 10,
            // A few round trips: a new leader or another upstream is known by then.
            Code::NoUpstream | Code::ConfigStale | Code::LimitUnavailable | Code::ClaimUnavailable => 250,
            // About the time in which an upstream completes a request and frees a slot.
            Code::Overloaded => 300,
            // Token buckets refill at the rate of the customer, typically some tens of tokens per second.
            Code::OverRate => 500,
            Code::Quarantined => 5_000,
            _ => return None,
        };
        Some(Duration::from_millis(delay_ms))
    }

    /// Exit code of a process that ends with this code.
    pub fn exit_code(self) -> i32 {
        match self {
            Code::Ok => 0,
            Code::Settings | Code::BadParams => 2,
            Code::Io | Code::Bind => 3,
            Code::Corrupt => 4,
            _ => 1,
        }
    }
}
