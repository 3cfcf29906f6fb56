//! Connections for attempts, which may have to be waited for.

use std::pin::pin;
use std::time::Duration;

use async_std::future;
use log::info;

use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::stage::Chooser;
use crate::stage::ChosenUpstream;

use super::Shared;
use super::Stages;
use super::request::AdmittedRequest;

/// Time between checks, while a request waits for a connection, that its upstream still takes requests.
const AVAILABLE_PERIOD: Duration = Duration::from_millis(100);

/// A connection to the upstream, unless it has left or is closed to requests by the time that there is one.
///
/// # Errors
/// `Unavailable`, and the errors of [`Pool::acquire`](crate::pool::Pool::acquire).
pub(super) async fn acquire<S: Stages>(
    shared: &Shared<S>,
    request: &AdmittedRequest,
    chosen: &ChosenUpstream,
    reuse: bool,
) -> Result<Connection, ConnectError> {
    let is_available = || {
        let chooser = &shared.stages.chooser;
        chooser.is_available(chosen, &request.route.id, request.customer.as_ref())
    };
    let mut acquired = pin!(shared.pool.acquire(chosen, reuse, request.time_left()));
    let conn = loop {
        match future::timeout(AVAILABLE_PERIOD, acquired.as_mut()).await {
            Ok(conn) => break Some(conn?),
            Err(_) if is_available() => {}
            Err(_) => break None,
        }
    };
    conn.filter(|_| is_available()).ok_or_else(|| {
        info!(
            "upstream left before the request was sent: id={} upstream={} run={}",
            request.id, chosen.upstream, chosen.run_start
        );
        ConnectError::Unavailable
    })
}
