//! Answers of upstreams in trouble: cut by a reset, without a status, or with a malformed field name.
//!
//! A separate test program, because it binds thousands of ports: tests of `path` count on ports that stay closed.

#[path = "broken/early.rs"]
mod early;
#[allow(dead_code)]
#[path = "path/fakes.rs"]
mod fakes;
#[path = "broken/malformed.rs"]
mod malformed;
#[path = "broken/resets.rs"]
mod resets;
#[allow(dead_code)]
#[path = "path/script.rs"]
mod script;
#[path = "support/seeds.rs"]
mod seeds;
