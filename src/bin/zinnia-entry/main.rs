//! Entry process: takes the requests of callers to healthy upstreams.

mod app;

fn main() {
    std::process::exit(app::run());
}
