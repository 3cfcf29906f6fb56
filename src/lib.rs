//! A proxy fleet for upstreams that fail gray.
//!
//! `docs/design.md` describes the modules, the state and the messages.

pub mod catalog;
pub mod code;
pub mod control;
pub mod error;
pub mod id;
pub mod journal;
pub mod kernel;
pub mod operator;
pub mod replica;
pub mod replication;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod stage;
pub mod timer;
pub mod view;
