//! Entry process: a proxy that forwards the requests of callers to healthy upstreams.

mod app;

fn main() {
    std::process::exit(app::run());
}
