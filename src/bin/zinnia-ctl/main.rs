//! Command-line client for operators: shows and changes the configuration at the control VMs.

mod app;
mod apply;
mod command;
mod evacuation;
mod flags;
mod list;
mod operator_client;
mod print;

fn main() {
    std::process::exit(app::run());
}
