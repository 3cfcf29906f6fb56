//! Log lines for the steps of a graceful stop of an entry VM.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::http::HttpServer;
use crate::proxy::Proxy;
use crate::proxy::Stages;

/// Maximum number of unfinished requests that are logged one by one; a fifth of the log queue's capacity.
const MAX_LISTED_REQUESTS: usize = 200;

/// Logs the steps of one stop, each with the number of open connections, pending requests and tasks.
///
/// `requests` are requests whose answer is not completely written. `tasks` are the [`Proxy::running_tasks`],
/// which may continue after their caller has disconnected; a request may count as both.
pub struct StopLog<'a, S: Stages> {
    start: Instant,
    server: &'a HttpServer,
    proxy: &'a Proxy<S>,
}

impl<'a, S: Stages> StopLog<'a, S> {
    /// Logs the start of a stop with its time limits: `linger` is how long the caller port stays open, `finish`
    /// how long requests may run after that.
    pub fn begin(server: &'a HttpServer, proxy: &'a Proxy<S>, linger: Duration, finish: Duration) -> Self {
        let log = Self {
            start: Instant::now(),
            server,
            proxy,
        };
        info!(
            "stopping: linger_ms={} finish_ms={} {}",
            linger.as_millis(),
            finish.as_millis(),
            log.counts()
        );
        log
    }

    /// Logs that the caller port no longer accepts connections.
    pub fn port_closed(&self) {
        info!("caller port closed: ms={} {}", self.millis(), self.counts());
    }

    /// Logs that all requests ended, or logs and counts those that did not end within the time limit.
    pub fn finished(&self) {
        let pending = self.server.pending();
        let tasks = self.proxy.running_tasks();
        if pending.is_empty() && tasks == 0 && self.server.connections() == 0 {
            info!("all requests ended: ms={}", self.millis());
            return;
        }
        for request in pending.iter().take(MAX_LISTED_REQUESTS) {
            let (id, caller, ms) = (request.id(), request.caller, request.millis());
            warn!("request unfinished: id={id} caller={caller} ms={ms}");
        }
        self.proxy.count_unfinished(pending.len(), tasks);
        warn!(
            "stop timed out: ms={} connections={} requests={} tasks={tasks}",
            self.millis(),
            self.server.connections(),
            pending.len()
        );
    }

    /// Logs the end of the stop.
    pub fn stopped(&self) {
        info!("stopped: ms={}", self.millis());
    }

    fn counts(&self) -> String {
        format!(
            "connections={} requests={} tasks={}",
            self.server.connections(),
            self.server.requests(),
            self.proxy.running_tasks()
        )
    }

    fn millis(&self) -> u128 {
        self.start.elapsed().as_millis()
    }
}
