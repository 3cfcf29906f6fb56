//! Operator command line of the control processes.

mod app;
mod apply;
mod command;
mod flags;
mod print;
mod remote;

fn main() {
    std::process::exit(app::run());
}
