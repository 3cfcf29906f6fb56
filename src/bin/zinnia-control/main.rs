//! Control process: a replica of the configuration that answers operators and entry VMs.

mod app;

fn main() {
    std::process::exit(app::run());
}
