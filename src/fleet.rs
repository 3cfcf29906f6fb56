//! A fleet of entry VMs that each keep a connection to one of the control VMs.
//!
//! Control VMs are connected to each other and accept connections of entry VMs. The messages carry the
//! replicated log, the configuration, announcements of upstreams, results of requests at upstreams, token
//! grants, and the list of entry VMs. The decisions are made in modules without input and output:
//! [`discovery`], [`health`], [`homes`], [`upstream_selector`], [`retry_budget`], [`entry_list`], [`entry_vms`], [`stall`], [`control_selector`],
//! [`leader_history`], [`token_lease`] and [`vm_count`].

pub mod control_client;
pub mod control_selector;
pub mod control_server;
mod crash_policy;
pub mod discovery;
pub mod entry_list;
pub mod entry_vms;
pub mod fallback_bucket;
pub mod health;
pub mod homes;
pub mod leader_history;
pub mod link;
pub mod memory;
pub mod message;
pub mod process;
pub mod retry_budget;
pub mod stall;
pub mod token_lease;
pub mod upstream_selector;
pub mod vm_count;
pub mod warmup;
