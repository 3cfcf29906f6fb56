//! Settings files: JSON, validated completely before a socket is opened.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use crate::code::Code;
use crate::connection_budget::DEFAULT_CONNECTION_MEMORY;
use crate::error::Error;
use crate::error::Result;
use crate::id::DomainName;
use crate::id::VmName;

/// Longest name of a VM, failure domain or other object, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One invalid field of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, such as `control[1].address`.
    pub path: String,
    /// What is wrong, with the value.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// A control VM and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmName,
    /// Address for calls between processes.
    pub address: SocketAddr,
}

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// File with the secret for calls between processes.
    pub fleet_secret: PathBuf,
    /// The control replicas.
    pub control: Vec<Peer>,
    /// Whether log lines are JSON instead of text.
    pub log_json: bool,
    /// Number of events kept in memory.
    pub event_count: usize,
}

/// Settings of a control process.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Address for calls of operators and processes.
    pub bind: SocketAddr,
    /// Directory for journal and snapshots.
    pub data: PathBuf,
    /// File with the secret for calls of operators.
    pub operator_secret: PathBuf,
    /// Memory for the heads and answers of all connections, in bytes.
    pub connection_memory: usize,
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest time without a leader before an election; the longest is twice this.
    pub election: Duration,
}

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address that callers get from the directory; `caller` if the file has none.
    pub advertise: SocketAddr,
    /// Address for other processes and for announcements of upstreams.
    pub peer: SocketAddr,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Memory for the bodies of all requests, in bytes.
    pub body_memory: usize,
    /// Memory for the heads and answers of all connections, in bytes.
    pub connection_memory: usize,
    /// Time within which a request head and body must arrive.
    pub read_limit: Duration,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// How long callers may keep a list of addresses.
    pub address_ttl: Duration,
    /// Deadline of a request that states none and whose route states none.
    pub request_limit: Duration,
    /// Whether a request on an open route needs a key if its path without dot segments lies on a route that needs one.
    pub guard_resolved: bool,
}

/// Reads fields of one JSON object and collects every problem.
struct Checker<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    /// Fields that were read; all others are unknown.
    known: BTreeSet<&'static str>,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    fn new(path: &str, value: &'a Value) -> Self {
        let mut checker = Self {
            path: path.into(),
            map: value.as_object(),
            known: BTreeSet::new(),
            problems: Vec::new(),
        };
        if checker.map.is_none() {
            checker.problems.push(Problem {
                path: path.into(),
                text: format!("not an object: {value}"),
            });
        }
        checker
    }

    fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.into()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    fn report(&mut self, field: &str, text: String) {
        let path = self.field_path(field);
        self.problems.push(Problem { path, text });
    }

    fn field(&mut self, name: &'static str) -> Option<&'a Value> {
        self.known.insert(name);
        self.map.and_then(|m| m.get(name))
    }

    fn required(&mut self, name: &'static str) -> Option<&'a Value> {
        let found = self.field(name);
        if found.is_none() && self.map.is_some() {
            self.report(name, "missing field".into());
        }
        found
    }

    fn name(&mut self, field: &'static str) -> SmolStr {
        let Some(value) = self.required(field) else {
            return SmolStr::default();
        };
        match value.as_str().filter(|s| is_name(s)) {
            Some(text) => text.into(),
            None => {
                let text = format!(
                    "{value} is not a name of letters, digits, '-', '_' or '.' up to {MAX_NAME_BYTES} bytes"
                );
                self.report(field, text);
                SmolStr::default()
            }
        }
    }

    fn path(&mut self, field: &'static str) -> PathBuf {
        let Some(value) = self.required(field) else {
            return PathBuf::new();
        };
        match value.as_str().filter(|s| !s.is_empty()) {
            Some(text) => text.into(),
            None => {
                self.report(field, format!("{value} is not a path"));
                PathBuf::new()
            }
        }
    }

    fn address(&mut self, field: &'static str, default: Option<SocketAddr>) -> SocketAddr {
        // Stands for a missing or invalid address; the problem is reported.
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let found = if default.is_some() {
            self.field(field)
        } else {
            self.required(field)
        };
        let Some(value) = found else {
            return default.unwrap_or(placeholder);
        };
        match value
            .as_str()
            .and_then(|s| s.parse::<SocketAddr>().ok())
            .filter(|a| a.port() != 0)
        {
            Some(address) => address,
            None => {
                self.report(
                    field,
                    format!("{value} is not an address IP:PORT with a port other than 0"),
                );
                placeholder
            }
        }
    }

    fn number(&mut self, field: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.field(field) else {
            return default;
        };
        match value.as_u64().filter(|n| range.contains(n)) {
            Some(number) => number,
            None => {
                let text = format!(
                    "{value} is not a whole number from {} to {}",
                    range.start(),
                    range.end()
                );
                self.report(field, text);
                default
            }
        }
    }

    fn count(&mut self, field: &'static str, default: u64, range: RangeInclusive<u64>) -> usize {
        usize::try_from(self.number(field, default, range)).unwrap_or(usize::MAX)
    }

    fn millis(&mut self, field: &'static str, default: u64, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(field, default, range))
    }

    fn flag(&mut self, field: &'static str, default: bool) -> bool {
        let Some(value) = self.field(field) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.report(field, format!("{value} is not true or false"));
            default
        })
    }

    fn peers(&mut self, field: &'static str) -> Vec<Peer> {
        let Some(value) = self.required(field) else {
            return Vec::new();
        };
        let Some(items) = value.as_array().filter(|a| !a.is_empty()) else {
            self.report(field, format!("{value} is not a list with at least one VM"));
            return Vec::new();
        };
        let mut peers: Vec<Peer> = Vec::new();
        for (n, item) in items.iter().enumerate() {
            let mut checker = Checker::new(&self.field_path(&format!("{field}[{n}]")), item);
            let peer = Peer {
                vm: checker.name("vm"),
                address: checker.address("address", None),
            };
            if peers.iter().any(|p| p.vm == peer.vm && !p.vm.is_empty()) {
                checker.report("vm", format!("duplicate VM name \"{}\"", peer.vm));
            }
            if peers
                .iter()
                .any(|p| p.address == peer.address && p.address.port() != 0)
            {
                checker.report("address", format!("duplicate address \"{}\"", peer.address));
            }
            peers.push(peer);
            self.problems.extend(checker.finish());
        }
        peers
    }

    fn common(&mut self) -> CommonSettings {
        CommonSettings {
            vm: self.name("vm"),
            domain: self.name("domain"),
            fleet_secret: self.path("fleet_secret"),
            control: self.peers("control"),
            log_json: self.flag("log_json", false),
            event_count: self.count("event_count", 10_000, 100..=1_000_000),
        }
    }

    fn finish(mut self) -> Vec<Problem> {
        let unknown: Vec<&String> = self
            .map
            .into_iter()
            .flat_map(Map::keys)
            .filter(|k| !self.known.contains(k.as_str()))
            .collect();
        for key in unknown {
            let value = &self.map.unwrap()[key];
            let problem = Problem {
                path: self.field_path(key),
                text: format!("unknown field with value {value}"),
            };
            self.problems.push(problem);
        }
        self.problems
    }
}

/// Whether a text may name a VM, a failure domain, a customer or another object.
pub fn is_name(text: &str) -> bool {
    let is_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_char)
}

/// Checks the settings of a control process.
///
/// # Errors
/// Every problem of the text.
pub fn check_control(text: &str) -> std::result::Result<ControlSettings, Vec<Problem>> {
    let value = parse_json(text)?;
    let mut checker = Checker::new("", &value);
    let settings = ControlSettings {
        common: checker.common(),
        bind: checker.address("bind", None),
        data: checker.path("data"),
        operator_secret: checker.path("operator_secret"),
        heartbeat: checker.millis("heartbeat_ms", 200, 10..=5_000),
        connection_memory: checker.count(
            "connection_memory_bytes",
            DEFAULT_CONNECTION_MEMORY as u64,
            1 << 20..=1 << 40,
        ),
        election: checker.millis("election_ms", 1_000, 50..=60_000),
    };
    if settings.election < settings.heartbeat * 3 {
        let text = format!(
            "{} is less than 3 times heartbeat_ms",
            settings.election.as_millis()
        );
        checker.report("election_ms", text);
    }
    let common = &settings.common;
    if !common.control.is_empty() && !common.control.iter().any(|p| p.vm == common.vm) {
        checker.report(
            "vm",
            format!("\"{}\" is not in the list of control VMs", common.vm),
        );
    }
    into_result(checker, settings)
}

/// Checks the settings of an entry process.
///
/// # Errors
/// Every problem of the text.
pub fn check_entry(text: &str) -> std::result::Result<EntrySettings, Vec<Problem>> {
    let value = parse_json(text)?;
    let mut checker = Checker::new("", &value);
    let common = checker.common();
    let caller = checker.address("caller", None);
    let settings = EntrySettings {
        common,
        caller,
        advertise: checker.address("advertise", Some(caller)),
        peer: checker.address("peer", None),
        body_limit: checker.count("body_limit_bytes", 1 << 20, 1_024..=64 << 20),
        body_memory: checker.count("body_memory_bytes", 128 << 20, 1 << 20..=1 << 40),
        connection_memory: checker.count(
            "connection_memory_bytes",
            DEFAULT_CONNECTION_MEMORY as u64,
            1 << 20..=1 << 40,
        ),
        read_limit: checker.millis("read_limit_ms", 10_000, 100..=120_000),
        connections: checker.count("connections", 1_000, 10..=100_000),
        address_ttl: checker.millis("address_ttl_ms", 30_000, 100..=600_000),
        request_limit: checker.millis("request_limit_ms", 10_000, 100..=600_000),
        guard_resolved: checker.flag("guard_resolved", true),
    };
    if settings.caller == settings.peer && settings.caller.port() != 0 {
        checker.report(
            "peer",
            format!("\"{}\" is also the caller address", settings.peer),
        );
    }
    into_result(checker, settings)
}

fn parse_json(text: &str) -> std::result::Result<Value, Vec<Problem>> {
    serde_json::from_str(text).map_err(|e| {
        vec![Problem {
            path: "$".into(),
            text: format!("not valid JSON: {e}"),
        }]
    })
}

fn into_result<T>(checker: Checker<'_>, settings: T) -> std::result::Result<T, Vec<Problem>> {
    let problems = checker.finish();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// `Settings` with one line for each problem.
pub fn open<T>(path: &Path, check: impl Fn(&str) -> std::result::Result<T, Vec<Problem>>) -> Result<T> {
    let text = fs::read_to_string(path)
        .map_err(|e| Error::new(Code::Settings, format!("settings file {}: {e}", path.display())))?;
    check(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|p| format!("\n  {p}")).collect();
        let detail = format!("settings file {}:{}", path.display(), lines.concat());
        Error::new(Code::Settings, detail)
    })
}
