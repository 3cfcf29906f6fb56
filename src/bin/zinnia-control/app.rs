//! Command line, start and stop of the control process.

use std::path::PathBuf;

use argh::FromArgs;
use futures::FutureExt;
use futures::StreamExt;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

use zinnialoom::cli;
use zinnialoom::code::Code;
use zinnialoom::control;
use zinnialoom::control::Control;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::logger;
use zinnialoom::settings;
use zinnialoom::settings::ControlSettings;

/// Replica of the configuration: answers operators (zinnia-ctl) and entry VMs (zinnia-entry).
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/zinnia/control.json",
    error_code(1, "a call between replicas failed"),
    error_code(2, "the command line or the settings are not valid"),
    error_code(3, "a file cannot be read or written, or an address cannot be bound"),
    error_code(4, "a file on disk is damaged; the message names file and offset")
)]
struct Flags {
    /// settings file, JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and the secret files, then exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Runs the process and returns its exit code.
pub fn run() -> i32 {
    cli::run("zinnia-control", execute)
}

async fn execute(flags: Flags) -> Result<()> {
    if flags.version {
        println!("zinnia-control {}", cli::VERSION);
        return Ok(());
    }
    let path = flags
        .settings
        .as_ref()
        .ok_or_else(|| Error::new(Code::BadParams, "--settings FILE is missing"))?;
    let settings = settings::open(path, settings::check_control)?;
    control::load_secrets(&settings)?;
    if flags.check {
        println!("{}: valid", path.display());
        return Ok(());
    }
    logger::open_stderr(&settings.common)?;
    cli::log_start("zinnia-control");
    serve(&settings).await
}

async fn serve(settings: &ControlSettings) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| Error::io("signals", &e))?;
    let control = Control::open(settings).await?;
    let failure = futures::select_biased! {
        _ = signals.next().fuse() => None,
        failure = control.failed().fuse() => Some(failure),
    };
    control.stop().await;
    failure.map_or(Ok(()), Err)
}
