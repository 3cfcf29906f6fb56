//! Tests of the command lines, exit codes and error messages of the programs.

use std::fs;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;

use tempfile::TempDir;

const EVENTS: &str = env!("CARGO_BIN_EXE_zinnia-events");
const ENTRY: &str = env!("CARGO_BIN_EXE_zinnia-entry");
const CONTROL: &str = env!("CARGO_BIN_EXE_zinnia-control");
const CTL: &str = env!("CARGO_BIN_EXE_zinnia-ctl");
const PLATFORM: &str = env!("CARGO_BIN_EXE_zinnia-platform");

fn run(program: &str, words: &[&str]) -> Output {
    Command::new(program).args(words).output().unwrap()
}

fn code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Guards against an exit code that differs from the one in the help.
#[test]
fn wrong_flags_and_missing_files_have_their_exit_codes() {
    for program in [EVENTS, ENTRY, CONTROL] {
        let wrong = run(program, &["--no-such-flag"]);
        assert_eq!(code(&wrong), Some(2), "{program}: {}", stderr(&wrong));
        assert_eq!(code(&run(program, &["--help"])), Some(0), "{program}");
    }
    for program in [ENTRY, CONTROL] {
        let missing = run(program, &["--settings", "no-such-file.json"]);
        assert_eq!(code(&missing), Some(2), "{}", stderr(&missing));
        assert!(stderr(&missing).contains("no-such-file.json"));
    }
    let missing = run(EVENTS, &["--file", "no-such-file.json"]);
    assert_eq!(code(&missing), Some(3), "{}", stderr(&missing));
}

/// Guards against a program of other sources, left over from an earlier build, that is taken for the checkout's.
#[test]
fn the_version_names_the_sources() {
    for program in [ENTRY, CONTROL, CTL, PLATFORM] {
        let output = run(program, &["--version"]);
        assert_eq!(code(&output), Some(0), "{program}: {}", stderr(&output));
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let id = text
            .trim_end()
            .split_once("(source ")
            .and_then(|(_, id)| id.strip_suffix(')'));
        let is_id = |id: &str| id.len() == 12 && id.bytes().all(|b| b.is_ascii_hexdigit());
        assert!(id.is_some_and(is_id), "{program}: {text:?}");
    }
}

/// Guards against a process that starts with invalid settings, or reports only the first mistake.
#[test]
fn each_mistake_in_settings_is_printed_and_nothing_is_started() {
    let folder = TempDir::new().unwrap();
    let path = write(&folder, "entry.json", r#"{"vm": "e 1", "colour": 1}"#);
    let output = run(ENTRY, &["--settings", &path]);
    assert_eq!(code(&output), Some(2));
    for field in [
        "vm: \"e 1\"",
        "colour: unknown field",
        "caller: missing field",
        "peer: missing field",
    ] {
        assert!(stderr(&output).contains(field), "{field} in {}", stderr(&output));
    }
}

/// Guards against a control process that writes to its data folder although its port is in use.
#[test]
fn a_port_in_use_is_one_clear_error() {
    let folder = TempDir::new().unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let secret = write(&folder, "fleet.secret", "0123456789abcdef");
    let operator = write(&folder, "operator.secret", "fedcba9876543210");
    let data = folder.path().join("data").display().to_string();
    let settings = serde_json::json!({
        "vm": "c1", "domain": "a", "fleet_secret": secret, "operator_secret": operator, "data": data,
        "bind": address, "control": [{"vm": "c1", "address": address}],
    });
    let path = write(&folder, "control.json", &settings.to_string());
    let output = run(CONTROL, &["--settings", &path]);
    assert_eq!(code(&output), Some(3), "{}", stderr(&output));
    assert!(
        stderr(&output).contains(&address.to_string()),
        "{}",
        stderr(&output)
    );
    assert!(
        !folder.path().join("data").exists(),
        "the data folder was touched"
    );
}

/// Guards against events that are printed out of order or without relation to the request that is explained.
#[test]
fn events_of_files_are_merged_filtered_and_explained() {
    let folder = TempDir::new().unwrap();
    let line = |stamp: u64, vm: &str, kind: &str, rest: &str| {
        format!(r#"{{"stamp":{stamp},"number":{stamp},"vm":"{vm}","domain":"a","kind":"{kind}"{rest}}}"#)
    };
    let failed = line(3, "e1", "RequestFailed", r#","request":"r7","code":108"#);
    let a = write(
        &folder,
        "a",
        &[failed, line(1, "e1", "FreshnessLost", "")].join("\n"),
    );
    let b = write(&folder, "b", &line(2, "e2", "Started", ""));
    let merged = run(EVENTS, &["--file", &a, "--file", &b]);
    let text = String::from_utf8_lossy(&merged.stdout).into_owned();
    // The fifth column is the kind of the event.
    let kinds: Vec<&str> = text.lines().filter_map(|l| l.split_whitespace().nth(4)).collect();
    assert_eq!(kinds, ["FreshnessLost", "Started", "RequestFailed"], "{text}");
    let why = run(EVENTS, &["--file", &a, "--file", &b, "--why-request", "r7"]);
    let text = String::from_utf8_lossy(&why.stdout).into_owned();
    assert!(
        text.contains("FreshnessLost") && text.contains("108 ConfigStale"),
        "{text}"
    );
    assert!(!text.contains("e2"), "{text}");
    let damaged = write(&folder, "damaged", "{\"stamp\":1");
    assert_eq!(code(&run(EVENTS, &["--file", &damaged])), Some(4));
}
