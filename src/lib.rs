//! A proxy fleet for upstreams that fail gray.
//!
//! `docs/design.md` describes the modules, the state and the messages.

pub mod claim;
pub mod claims;
pub mod code;
pub mod crashes;
pub mod error;
pub mod grant;
pub mod id;
pub mod kernel;
pub mod lease;
pub mod limits;
pub mod peers;
pub mod quarantine;
pub mod rendezvous;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod stage;
pub mod timer;
pub mod view;
