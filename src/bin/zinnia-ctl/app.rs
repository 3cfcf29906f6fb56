//! Runs one command and turns its result into an exit code.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_std::task;
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;
use serde_json::json;

use zinnialoom::cli;
use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::rpc::remote_error;
use zinnialoom::secret::Secret;
use zinnialoom::secret::new_secret;

use crate::command::Command;
use crate::flags;
use crate::flags::Flags;
use crate::operator_client::OperatorClient;
use crate::print;

/// No valid answer arrived, so the change may have been applied.
const EXIT_NO_ANSWER: i32 = 5;
/// The change is durable, but not yet in force on the required VMs.
const EXIT_PENDING: i32 = 6;
/// The object has another version than expected.
const EXIT_CONFLICT: i32 = 7;
/// Hexadecimal characters of a generated change id: 64 bits.
const CHANGE_ID_CHARS: usize = 16;
/// Time that one `version.wait` call waits, in milliseconds: the interval of the progress lines.
const WAIT_CALL_MS: u64 = 500;

/// Runs the command line and returns the exit code.
pub fn run() -> i32 {
    let args: Vec<String> = std::env::args().collect();
    let (name, rest) = args.split_first().expect("the name of the program");
    let name = name.rsplit('/').next().unwrap_or(name);
    let flags = match Flags::from_args(&[name], &flags::move_globals_first(rest)) {
        Ok(flags) => flags,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return Code::Ok.exit_code();
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return Code::BadParams.exit_code();
        }
    };
    match task::block_on(execute(flags)) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e}");
            exit_code(e.code)
        }
    }
}

/// The exit code that `--help` documents for a result code.
fn exit_code(code: Code) -> i32 {
    match code {
        Code::NoQuorum | Code::Timeout | Code::BadAnswer => EXIT_NO_ANSWER,
        Code::Pending => EXIT_PENDING,
        Code::Conflict => EXIT_CONFLICT,
        code => code.exit_code(),
    }
}

async fn execute(mut flags: Flags) -> Result<i32> {
    if flags.version {
        println!("zinnia-ctl {}", cli::VERSION);
        return Ok(0);
    }
    let command = flags
        .command
        .take()
        .ok_or_else(|| Error::new(Code::BadParams, "a command is missing; see --help"))?;
    let client = open_client(&flags)?;
    if let Command::Wait(wait) = &command {
        return wait_for_version(&client, &flags, wait.version).await;
    }
    let id = match &flags.change_id {
        Some(id) => id.clone(),
        None => new_secret()?[..CHANGE_ID_CHARS].into(),
    };
    let call = command.call(&id)?;
    // An edition has no change id, since its number already makes a repeated call harmless.
    let has_change_id = call.params.get("change").is_some();
    if has_change_id && flags.change_id.is_none() {
        eprintln!("change id: {id}");
    }
    let reply = client.call(call.method, &call.params).await;
    let reply = reply.map_err(|e| match exit_code(e.code) {
        EXIT_NO_ANSWER if has_change_id => with_resend_hint(e, &id),
        _ => e,
    })?;
    match reply {
        Ok(result) => {
            print::answer(&result, flags.json);
            match version_field(&result) {
                Some(version) if call.is_change && flags.wait => {
                    wait_for_version(&client, &flags, version).await
                }
                _ => Ok(0),
            }
        }
        Err(fault) => report_refusal(&client, &flags, &id, has_change_id, fault).await,
    }
}

fn with_resend_hint(error: Error, id: &str) -> Error {
    let detail = format!(
        "{}; the change may have been applied, send it again with --change-id {id}",
        error.detail
    );
    Error::new(error.code, detail)
}

async fn report_refusal(
    client: &OperatorClient,
    flags: &Flags,
    id: &str,
    has_change_id: bool,
    fault: ErrorObjectOwned,
) -> Result<i32> {
    if flags.json {
        println!("{:#}", json!({"error": fault}));
    }
    let data: Option<Value> = fault.data().and_then(|d| serde_json::from_str(d.get()).ok());
    let error = remote_error(fault);
    if error.code == Code::Pending && flags.wait {
        eprintln!("{error}");
        if let Some(version) = data.as_ref().and_then(version_field) {
            return wait_for_version(client, flags, version).await;
        }
    }
    if exit_code(error.code) == EXIT_NO_ANSWER && has_change_id {
        return Err(with_resend_hint(error, id));
    }
    Err(error)
}

fn version_field(value: &Value) -> Option<u64> {
    value.get("version").and_then(Value::as_u64)
}

/// Waits until all registered VMs have acknowledged a version; prints a line whenever their number changes.
async fn wait_for_version(client: &OperatorClient, flags: &Flags, version: u64) -> Result<i32> {
    let end = Instant::now() + Duration::from_secs(flags.wait_limit);
    let mut last_line = String::new();
    loop {
        let params = json!({"version": version, "wait_ms": WAIT_CALL_MS});
        let result = client
            .call("version.wait", &params)
            .await?
            .map_err(remote_error)?;
        let in_force = &result["in_force"];
        let line = format!(
            "version {version} is in force on {} of {} VMs",
            in_force["acknowledged"], in_force["of"]
        );
        if line != last_line {
            eprintln!("{line}");
            last_line = line;
        }
        if result["everywhere"] == json!(true) {
            return Ok(0);
        }
        if Instant::now() >= end {
            eprintln!(
                "version {version} is not in force on all VMs after {} s",
                flags.wait_limit
            );
            return Ok(EXIT_PENDING);
        }
    }
}

fn open_client(flags: &Flags) -> Result<OperatorClient> {
    let control = flags
        .control
        .clone()
        .or_else(|| std::env::var("ZINNIA_CONTROL").ok());
    let control = control.ok_or_else(|| {
        Error::new(
            Code::BadParams,
            "--control ADDR[,ADDR...] or ZINNIA_CONTROL is missing",
        )
    })?;
    let secret = flags
        .secret
        .clone()
        .or_else(|| std::env::var_os("ZINNIA_SECRET").map(PathBuf::from));
    let secret =
        secret.ok_or_else(|| Error::new(Code::BadParams, "--secret FILE or ZINNIA_SECRET is missing"))?;
    let secret = Secret::open(&secret)?;
    OperatorClient::new(&control, &secret, Duration::from_secs(flags.call_limit))
}
