//! Entry point that all programs except `zinnia-ctl` share: parses the command line, prints errors and
//! chooses the exit code.

use std::future::Future;

use argh::FromArgs;
use async_std::task;
use log::info;

use crate::code::Code;
use crate::error::Result;
use crate::logger;

/// Version of the programs, with the id of the sources that they were built of (see `build.rs`).
pub const VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    " (source ",
    env!("ZINNIALOOM_SOURCE"),
    ")"
);

/// Logs the start of a process, so that its log shows which build ran.
pub fn log_start(program: &str) {
    info!(
        "process started: program={program} version={} source={} pid={}",
        env!("CARGO_PKG_VERSION"),
        env!("ZINNIALOOM_SOURCE"),
        std::process::id()
    );
}

/// Parses the command line, runs the program and returns the exit code of the process.
///
/// Help goes to standard output; errors go to standard error with the name of the program. Queued log
/// lines are written before it returns, because the exit of the process ends the thread that writes them.
pub fn run<F, P>(name: &str, program: impl FnOnce(F) -> P) -> i32
where
    F: FromArgs,
    P: Future<Output = Result<()>>,
{
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let flags = match F::from_args(&[name], &args) {
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
    let code = match task::block_on(program(flags)) {
        Ok(()) => Code::Ok.exit_code(),
        Err(error) => {
            eprintln!("{name}: {error}");
            error.code.exit_code()
        }
    };
    logger::flush();
    code
}
