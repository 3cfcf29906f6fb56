//! A proxy fleet for upstreams that fail gray.
//!
//! `docs/design.md` describes the modules, the state and the messages.

pub mod answer;
pub mod balance;
pub mod catalog;
pub mod claim;
pub mod claims;
pub mod clients;
pub mod clock;
pub mod code;
pub mod control;
pub mod crashes;
pub mod detect;
pub mod directory;
pub mod error;
pub mod event;
pub mod fault;
pub mod freshness;
pub mod gossip;
pub mod grant;
pub mod head;
pub mod http;
pub mod id;
pub mod job;
pub mod kernel;
pub mod lease;
pub mod limits;
pub mod logger;
pub mod member;
pub mod metric;
pub mod operator;
pub mod peers;
pub mod permit;
pub mod pool;
pub mod proxy;
pub mod quarantine;
pub mod rendezvous;
pub mod replication;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod stage;
pub mod timeline;
pub mod timer;
pub mod upstreams;
pub mod view;
