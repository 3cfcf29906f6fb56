//! A proxy fleet for upstreams that fail gray.
//!
//! `docs/design.md` describes the modules, the state and the messages.

pub mod balance;
pub mod code;
pub mod detect;
pub mod directory;
pub mod error;
pub mod freshness;
pub mod id;
pub mod kernel;
pub mod member;
pub mod permit;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod stage;
pub mod timer;
pub mod view;
