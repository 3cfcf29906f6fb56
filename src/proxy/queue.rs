//! Requests that wait because all upstreams of their service are at their cap.
//!
//! Each customer has its own line and the lines take turns, so that a customer with many requests
//! does not delay the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::CustomerId;
use crate::id::ServiceId;
use crate::stage::ChooseAsk;
use crate::stage::Chooser;
use crate::stage::Pick;

/// Waiting requests of one customer for one service at most.
pub(crate) const WAITING: usize = 64;
/// Capacity also appears without a request of this VM ending (a new upstream, a larger cap), so
/// waiting requests try again at this interval.
const RETRY_PERIOD: Duration = Duration::from_millis(25);

#[derive(Default)]
struct Lines {
    /// Customers with waiting requests, the next in turn first.
    order: VecDeque<CustomerId>,
    lines: HashMap<CustomerId, VecDeque<Sender<()>>>,
}

/// The waiting requests of all services.
#[derive(Default)]
pub(crate) struct Queue {
    services: Mutex<HashMap<ServiceId, Lines>>,
}

impl Queue {
    /// An upstream for the request, if need be after waiting for its turn.
    pub(crate) async fn choose<C: Chooser>(
        &self,
        chooser: &C,
        ask: &ChooseAsk<'_>,
        deadline: Instant,
    ) -> Result<Pick> {
        let customer = ask.customer.cloned().unwrap_or_default();
        let mut first = false;
        if !self.has_waiting(ask.service) {
            match chooser.choose(ask) {
                Err(e) if e.code == Code::Overloaded => {}
                other => return other,
            }
        }
        loop {
            let turn = self.join(ask.service, &customer, first)?;
            self.wait(ask.service, &turn, deadline).await?;
            match chooser.choose(ask) {
                // It was its turn, so it goes back to the front.
                Err(e) if e.code == Code::Overloaded => first = true,
                other => return other,
            }
        }
    }

    fn has_waiting(&self, service: &ServiceId) -> bool {
        self.services.lock().unwrap().contains_key(service)
    }

    async fn wait(&self, service: &ServiceId, turn: &Receiver<()>, deadline: Instant) -> Result<()> {
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let detail = "all upstreams of the service were at their cap until the deadline";
                return Err(Error::new(Code::DeadlineBefore, detail));
            }
            if future::timeout(left.min(RETRY_PERIOD), turn.recv()).await.is_ok() {
                return Ok(());
            }
            self.wake(service);
        }
    }

    fn join(&self, service: &ServiceId, customer: &CustomerId, first: bool) -> Result<Receiver<()>> {
        let mut services = self.services.lock().unwrap();
        let lines = services.entry(service.clone()).or_default();
        let line = lines.lines.entry(customer.clone()).or_default();
        line.retain(|waiting| !waiting.is_closed());
        if line.len() >= WAITING && !first {
            let detail = format!("{WAITING} requests of the customer wait already");
            return Err(Error::new(Code::Overloaded, detail));
        }
        let (sender, receiver) = channel::bounded(1);
        match first {
            true => line.push_front(sender),
            false => line.push_back(sender),
        }
        if lines.order.contains(customer) {
            lines.order.retain(|c| !first || c != customer);
        }
        match (first, lines.order.contains(customer)) {
            (true, _) => lines.order.push_front(customer.clone()),
            (false, false) => lines.order.push_back(customer.clone()),
            (false, true) => {}
        }
        Ok(receiver)
    }

    /// Gives the next customer its turn; called when a request of the service has ended.
    pub(crate) fn wake(&self, service: &ServiceId) {
        let mut services = self.services.lock().unwrap();
        let Some(lines) = services.get_mut(service) else {
            return;
        };
        while let Some(customer) = lines.order.pop_front() {
            let line = lines.lines.entry(customer.clone()).or_default();
            let woken = loop {
                match line.pop_front() {
                    Some(next) if next.try_send(()).is_ok() => break true,
                    Some(_) => continue,
                    None => break false,
                }
            };
            if line.is_empty() {
                lines.lines.remove(&customer);
            } else {
                lines.order.push_back(customer);
            }
            if woken {
                break;
            }
        }
        if lines.order.is_empty() {
            services.remove(service);
        }
    }
}
