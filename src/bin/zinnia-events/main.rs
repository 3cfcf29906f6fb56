//! Reads the events of all processes and prints one time line.

mod app;

fn main() {
    std::process::exit(app::run());
}
