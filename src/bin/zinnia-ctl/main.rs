//! Operator command line of the control processes.

mod app;
mod command;
mod flags;
mod print;
mod remote;

fn main() {
    std::process::exit(app::run());
}
