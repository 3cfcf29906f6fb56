//! Command line, start and stop of the entry process.

use std::path::PathBuf;

use argh::FromArgs;
use futures::StreamExt;
use futures::future::Either;
use futures::future::select;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

use zinnialoom::cli;
use zinnialoom::code::Code;
use zinnialoom::entry::Entry;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::logger;
use zinnialoom::secret::Secret;
use zinnialoom::settings;
use zinnialoom::settings::EntrySettings;

/// Entry VM: takes the requests of callers to healthy upstreams.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/zinnia/entry.json",
    error_code(1, "a part of the process failed"),
    error_code(2, "the command line or the settings are not valid"),
    error_code(3, "a file cannot be read, or an address cannot be bound")
)]
struct Flags {
    /// settings file, JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and the secret file, then exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Runs the process and returns its exit code.
pub fn run() -> i32 {
    cli::run("zinnia-entry", execute)
}

async fn execute(flags: Flags) -> Result<()> {
    if flags.version {
        println!("zinnia-entry {}", cli::VERSION);
        return Ok(());
    }
    let path = flags
        .settings
        .as_ref()
        .ok_or_else(|| Error::new(Code::BadParams, "--settings FILE is missing"))?;
    let settings = settings::open(path, settings::check_entry)?;
    let secret = Secret::open(&settings.common.fleet_secret)?;
    if flags.check {
        println!("{}: valid", path.display());
        return Ok(());
    }
    logger::open_stderr(&settings.common)?;
    cli::log_start("zinnia-entry");
    serve(&settings, secret).await
}

async fn serve(settings: &EntrySettings, secret: Secret) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| Error::io("signals", &e))?;
    // `Entry::open` waits up to `PREVIOUS_RUN_TIMEOUT` for a control VM; a signal ends this wait as well.
    let open = Box::pin(Entry::open(settings, secret));
    let entry = match select(open, signals.next()).await {
        Either::Left((entry, _)) => entry?,
        Either::Right(_) => return Ok(()),
    };
    info!(
        "entry VM {} answers callers on {}",
        settings.common.vm,
        entry.caller_address()
    );
    let signal = signals.next().await.unwrap_or_default();
    info!("stopping on signal {signal}");
    entry.stop().await;
    Ok(())
}
