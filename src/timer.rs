//! Timer component: sends periodic ticks to its subscribers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::future;
use async_std::task;

use crate::component::Component;

/// Shortest period of a subscription.
pub const MIN_PERIOD: Duration = Duration::from_millis(10);

/// Longest sleep of a timer without subscribers.
const MAX_SLEEP: Duration = Duration::from_secs(60);

struct Subscriber {
    period: Duration,
    due: Instant,
    sender: Sender<Instant>,
}

/// The ticks of one subscription.
pub struct Ticks {
    receiver: Receiver<Instant>,
}

impl Ticks {
    /// The time of the next tick, or `None` once the timer has stopped.
    pub async fn next(&self) -> Option<Instant> {
        self.receiver.recv().await.ok()
    }
}

/// Sends ticks to its subscribers; one task serves them all.
pub struct Timer {
    subscribers: Arc<Mutex<Vec<Subscriber>>>,
    /// Wakes the task for a new subscriber.
    wake: Sender<()>,
}

impl Timer {
    /// Starts the timer task.
    pub fn spawn() -> Self {
        let subscribers = Arc::new(Mutex::new(Vec::new()));
        let weak = Arc::downgrade(&subscribers);
        let (wake, woken) = channel::bounded(1);
        task::spawn(async move {
            let mut wait = MIN_PERIOD;
            loop {
                // A new subscriber wakes the task, as it may be due before the others. The task sleeps until
                // the next tick is due, because wake-ups without work cost a small VM CPU time.
                if let Ok(Err(_)) = future::timeout(wait, woken.recv()).await {
                    return;
                }
                let Some(list) = weak.upgrade() else { return };
                let mut list = list.lock().unwrap();
                let now = Instant::now();
                send_due(&mut list, now);
                let next = list.iter().map(|s| s.due.saturating_duration_since(now)).min();
                wait = next.unwrap_or(MAX_SLEEP).max(MIN_PERIOD);
            }
        });
        Self { subscribers, wake }
    }

    /// Ticks with the given period, which is at least [`MIN_PERIOD`].
    ///
    /// A slow subscriber misses ticks instead of receiving several late ones in a row.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let period = period.max(MIN_PERIOD);
        let (sender, receiver) = channel::bounded(1);
        let due = Instant::now() + period;
        self.subscribers
            .lock()
            .unwrap()
            .push(Subscriber { period, due, sender });
        // If the channel is full, the task is about to wake up anyway.
        let _ = self.wake.try_send(());
        Ticks { receiver }
    }
}

impl Component for Timer {
    const NAME: &'static str = "timer";

    async fn stop(&self) {
        self.subscribers.lock().unwrap().clear();
    }
}

/// Sends a tick to each subscriber that is due and removes it if it has closed its channel.
fn send_due(list: &mut Vec<Subscriber>, now: Instant) {
    list.retain_mut(|s| {
        if now < s.due {
            return true;
        }
        s.due = now + s.period;
        !matches!(s.sender.try_send(now), Err(channel::TrySendError::Closed(_)))
    });
}
