//! Control process: holds a replica of the configuration and answers operators and entry VMs.

mod app;

fn main() {
    std::process::exit(app::run());
}
