//! Reads the events of all processes and prints one time line.

use std::process;

mod app;

fn main() {
    let args: app::Args = argh::from_env();
    if let Err(error) = async_std::task::block_on(app::run(args)) {
        eprintln!("zinnia-events: {error}");
        process::exit(error.code.exit());
    }
}
