//! Gives freed memory back to the system.
//!
//! The allocator of glibc keeps the memory of a crowd that has gone: a page is returned by itself only at the end of a
//! heap, and each thread allocates from a heap of its own.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use log::info;

use crate::body_budget::BodyBudget;
use crate::connection_budget::ConnectionBudget;
use crate::timer::Timer;

/// Time between two checks; memory of a crowd that comes again within it is kept.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Released bytes after which freed memory is given back; fewer are soon used again, and giving them back takes time.
const MIN_RELEASED_BYTES: usize = 2 << 20;

/// Starts a task that gives memory back after connections and bodies have released it, until the timer stops.
pub fn spawn(timer: &Timer, connections: Arc<ConnectionBudget>, bodies: Vec<Arc<BodyBudget>>) {
    let ticks = timer.subscribe(CHECK_PERIOD);
    task::spawn(async move {
        while ticks.next().await.is_some() {
            let heads = connections.take_released(MIN_RELEASED_BYTES);
            let bodies = bodies
                .iter()
                .filter_map(|b| b.take_released(MIN_RELEASED_BYTES))
                .reduce(|sum, released| sum + released);
            if heads.is_none() && bodies.is_none() {
                continue;
            }
            let start = Instant::now();
            task::spawn_blocking(trim).await;
            info!(
                "memory given back: connections_bytes={} bodies_bytes={} ms={}",
                heads.unwrap_or_default(),
                bodies.unwrap_or_default(),
                start.elapsed().as_millis()
            );
        }
    });
}

/// Returns the free pages of all heaps to the system.
fn trim() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: `malloc_trim` has no preconditions and may be called from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}
