//! Merges the events of processes and files into one time line.

mod app;

fn main() {
    std::process::exit(app::run());
}
