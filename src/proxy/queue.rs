//! Requests that wait because all upstreams of their service are at their cap.
//!
//! `admission` keeps the order: by rank where requests compete by rank, otherwise customers take turns, so that a
//! customer with many requests does not delay the others. The task that frees capacity chooses an upstream for the next
//! request under the lock of the queue. If the waiting request chose for itself after a wake-up, another request
//! could take the capacity first.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Sender;
use async_std::future;

use crate::admission::waiting_line::Applicant;
use crate::admission::waiting_line::MAX_OF_CUSTOMER;
use crate::admission::waiting_line::Order;
use crate::admission::waiting_line::Waiter;
use crate::admission::waiting_line::WaiterId;
use crate::admission::waiting_line::WaitingLine;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::id::Rank;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::stage::ChoiceCriteria;
use crate::stage::Chooser;

use self::waiting::Waiting;
use super::Proxy;
use super::Shared;
use super::Stages;
use super::attempt::InFlight;
use super::request::AdmittedRequest;

mod waiting;

/// Interval at which a waiting request checks whether an upstream has capacity. The end of a request
/// dispatches waiting requests at once, but capacity can also appear when no request of this VM ends (a new
/// upstream, a larger cap).
const CHECK_PERIOD: Duration = Duration::from_millis(25);

/// The chosen upstream for a request, or why there is none.
type Assignment<S> = Result<InFlight<S>>;

/// What the queue keeps of a waiting request.
struct Pending<S: Stages> {
    request: Arc<AdmittedRequest>,
    tried: Vec<UpstreamId>,
    sender: Sender<Assignment<S>>,
}

/// The waiting requests of one service.
struct ServiceLine<S: Stages> {
    line: WaitingLine<Pending<S>>,
    last_check: Instant,
}

struct Lines<S: Stages> {
    services: HashMap<ServiceId, ServiceLine<S>>,
    /// Whether requests no longer wait, because this VM is stopping.
    is_closed: bool,
}

/// The waiting requests of all services.
pub(crate) struct Queue<S: Stages> {
    lines: Mutex<Lines<S>>,
}

impl<S: Stages> Default for Queue<S> {
    fn default() -> Self {
        let lines = Lines {
            services: HashMap::new(),
            is_closed: false,
        };
        Self {
            lines: Mutex::new(lines),
        }
    }
}

impl<S: Stages> Proxy<S> {
    /// Refuses the waiting requests with `Stopping`; from now on none waits.
    pub fn end_waits(&self) {
        let mut lines = self.shared.queue.lines.lock().unwrap();
        lines.is_closed = true;
        let services = std::mem::take(&mut lines.services);
        drop(lines);
        for mut service in services.into_values() {
            for waiter in service.line.take_all() {
                refuse(&waiter, Code::Stopping.into());
            }
        }
    }
}

impl<S: Stages> Shared<S> {
    /// Chooses an upstream for the request, which waits in the queue if all are at their cap.
    ///
    /// # Errors
    /// `Overloaded` if the queue is full or the request may not wait long enough, `DeadlineBefore` if no
    /// capacity was freed in time, `Stopping`, or another error of [`Chooser::choose`].
    pub(crate) async fn choose(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        tried: &[UpstreamId],
    ) -> Result<InFlight<S>> {
        let waiting = match self.choose_or_enqueue(request, tried)? {
            Ok(in_flight) => return Ok(in_flight),
            Err(waiting) => waiting,
        };
        let assignment = self.wait(&waiting).await;
        waiting.end(&assignment);
        assignment
    }

    /// Chooses an upstream for one more attempt of a request that other upstreams are processing; waiting
    /// requests have priority.
    ///
    /// # Errors
    /// `Overloaded` if requests are waiting or all upstreams are at their cap, `NoUpstream` if there is no
    /// other.
    pub(crate) fn choose_now(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        tried: &[UpstreamId],
    ) -> Result<InFlight<S>> {
        let lines = self.queue.lines.lock().unwrap();
        if lines.waiting(&request.route.service) > 0 {
            return Err(Code::Overloaded.into());
        }
        choose(self, request, tried, self.rank(request))
    }

    /// Number of waiting requests of a service.
    pub(super) fn waiting(&self, service: &ServiceId) -> usize {
        self.queue.lines.lock().unwrap().waiting(service)
    }

    fn rank(&self, request: &AdmittedRequest) -> Rank {
        let chooser = &self.stages.chooser;
        chooser.standing(&request.route, request.customer.as_ref()).rank
    }

    /// Waits until an upstream is assigned to the request or it may no longer wait.
    async fn wait(self: &Arc<Self>, waiting: &Waiting<S>) -> Result<InFlight<S>> {
        loop {
            if let Ok(assignment) = waiting.receiver.try_recv() {
                return assignment;
            }
            let left = waiting.until().saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.expired(&waiting.request));
            }
            // The task of a request that may run once goes on without its caller.
            if waiting.request.has_caller_left() {
                let detail = "the caller left while the request waited";
                return Err(Error::new(Code::DeadlineBefore, detail));
            }
            match future::timeout(left.min(CHECK_PERIOD), waiting.receiver.recv()).await {
                Ok(Ok(assignment)) => return assignment,
                Ok(Err(_)) => return Err(Code::Overloaded.into()),
                Err(_) => self.check_capacity(&waiting.request.route.service),
            }
        }
    }

    /// The error for a request that may no longer wait.
    fn expired(&self, request: &AdmittedRequest) -> Error {
        if !self.stages.chooser.is_ranked() || request.time_left().is_zero() {
            let detail = "all upstreams of the service were at their cap until the deadline";
            return Error::new(Code::DeadlineBefore, detail);
        }
        let detail = "no upstream had room for the rank of the request within the time that it may wait";
        Error::new(Code::Overloaded, detail)
    }

    /// Chooses an upstream, or adds the request to the queue and returns its wait.
    ///
    /// The inner result is no failure in either case: `Ok` has the chosen upstream, `Err` the wait.
    fn choose_or_enqueue(
        self: &Arc<Self>,
        request: &Arc<AdmittedRequest>,
        tried: &[UpstreamId],
    ) -> Result<std::result::Result<InFlight<S>, Waiting<S>>> {
        let chooser = &self.stages.chooser;
        let service = &request.route.service;
        let is_ranked = chooser.is_ranked();
        let now = Instant::now();
        let standing = chooser.standing(&request.route, request.customer.as_ref());
        let mut lines = self.queue.lines.lock().unwrap();
        let has_waiting = lines.waiting(service) > 0;
        if !has_waiting {
            match choose(self, request, tried, standing.rank) {
                Err(e) if e.code == Code::Overloaded && chooser.may_queue() => {}
                assignment => return assignment.map(Ok),
            }
        }
        if lines.is_closed {
            return Err(Code::Stopping.into());
        }
        let order = match is_ranked {
            true => Order::Ranks,
            false => Order::Customers,
        };
        let queue = lines
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceLine {
                line: WaitingLine::new(order),
                last_check: now,
            });
        let (sender, receiver) = channel::bounded(1);
        let pending = Pending {
            request: Arc::clone(request),
            tried: tried.to_vec(),
            sender,
        };
        let mut waiting = Waiting::new(self, request, receiver, standing, now);
        let applicant = Applicant {
            rank: standing.rank,
            // Requests without a customer share the empty name.
            customer: request.customer.clone().unwrap_or_default(),
            kind: kind(request, tried, standing.rank),
            latest_start: request.deadline.checked_sub(standing.usual).unwrap_or(now),
            until: waiting.until(),
            bytes: request.size(),
        };
        let (id, displaced) = queue.line.enter(now, applicant, pending);
        waiting.id = id;
        let (count, bytes) = (queue.line.len(), queue.line.bytes());
        drop(lines);
        for waiter in displaced {
            let detail = match is_ranked {
                true => format!("{count} requests of the service wait already, of the same or a higher rank"),
                false => format!("{MAX_OF_CUSTOMER} requests of the customer wait already"),
            };
            refuse(&waiter, Error::new(Code::Overloaded, detail));
        }
        if is_ranked {
            waiting.log_start(count, bytes);
        }
        // There may be room for this request and none for those before it, for lack of rank.
        if is_ranked && has_waiting {
            self.dispatch_at(now, service);
        }
        Ok(Err(waiting))
    }

    /// Dispatches waiting requests, in case capacity has appeared without a request ending.
    fn check_capacity(self: &Arc<Self>, service: &ServiceId) {
        let now = Instant::now();
        {
            let mut lines = self.queue.lines.lock().unwrap();
            let Some(queue) = lines.services.get_mut(service) else {
                return;
            };
            // Each waiting request calls this; one check in each period is enough.
            if now.duration_since(queue.last_check) < CHECK_PERIOD / 2 {
                return;
            }
            queue.last_check = now;
        }
        self.dispatch(service);
    }

    /// Assigns upstreams to waiting requests while there is capacity; called when a request has ended.
    pub(crate) fn dispatch(self: &Arc<Self>, service: &ServiceId) {
        self.dispatch_at(Instant::now(), service);
    }

    /// As [`Self::dispatch`]; requests that may wait until `now` or longer still get a place.
    fn dispatch_at(self: &Arc<Self>, now: Instant, service: &ServiceId) {
        let mut lines = self.queue.lines.lock().unwrap();
        let Some(queue) = lines.services.get_mut(service) else {
            return;
        };
        for waiter in queue.line.expire(now) {
            refuse(&waiter, self.expired(&waiter.item.request));
        }
        let mut served = Vec::new();
        loop {
            let assigned = queue.line.assign(now, |waiter, rank| {
                let pending = &waiter.item;
                match choose(self, &pending.request, &pending.tried, rank) {
                    Err(e) if e.code == Code::Overloaded => None,
                    assignment => Some(assignment),
                }
            });
            let Some((waiter, assignment)) = assigned else {
                break;
            };
            let sent = waiter.item.sender.try_send(assignment);
            served.push((sent.err(), waiter));
        }
        if queue.line.is_idle() {
            lines.services.remove(service);
        }
        drop(lines);
        // This releases the upstreams assigned to requests that no longer wait, which calls `dispatch` again
        // and needs the lock.
        drop(served);
    }

    /// Removes a request that no longer waits.
    fn leave_queue(&self, service: &ServiceId, id: WaiterId) {
        let mut lines = self.queue.lines.lock().unwrap();
        let Some(queue) = lines.services.get_mut(service) else {
            return;
        };
        let waiter = queue.line.leave(id);
        if queue.line.is_idle() {
            lines.services.remove(service);
        }
        drop(lines);
        drop(waiter);
    }
}

impl<S: Stages> Lines<S> {
    /// Number of waiting requests of a service.
    fn waiting(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |queue| queue.line.len())
    }
}

/// Ends the wait of a request that was removed from its line.
fn refuse<S: Stages>(waiter: &Waiter<Pending<S>>, error: Error) {
    // It fails if the request has ended its wait itself.
    let _ = waiter.item.sender.try_send(Err(error));
}

/// What an upstream must fit, as one number.
fn kind(request: &AdmittedRequest, tried: &[UpstreamId], rank: Rank) -> u64 {
    let mut hasher = DefaultHasher::new();
    let properties = (&request.route.id, &request.customer, request.idempotent);
    (properties, tried, rank).hash(&mut hasher);
    hasher.finish()
}

/// Chooses an upstream by the load limit of a rank.
fn choose<S: Stages>(
    shared: &Arc<Shared<S>>,
    request: &Arc<AdmittedRequest>,
    tried: &[UpstreamId],
    rank: Rank,
) -> Assignment<S> {
    let criteria = ChoiceCriteria {
        service: &request.route.service,
        route: &request.route.id,
        customer: request.customer.as_ref(),
        tried,
        idempotent: request.idempotent,
        urgent: shared.stages.chooser.is_urgent(&request.route),
        rank,
    };
    let chosen = shared.stages.chooser.choose(&criteria)?;
    Ok(InFlight::new(shared, request, chosen))
}
