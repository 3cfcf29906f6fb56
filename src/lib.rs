//! A proxy fleet for upstreams that fail gray.
//!
//! `docs/design.md` describes the modules, the state and the messages.

pub mod answer;
pub mod code;
pub mod error;
pub(crate) mod frame;
pub mod head;
pub mod http;
pub mod id;
pub mod kernel;
pub mod pool;
pub mod proxy;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod stage;
pub mod timer;
pub mod view;
