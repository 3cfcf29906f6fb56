//! Timer service: parts subscribe with a period and receive ticks.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::channel;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::task;

use crate::kernel::Service;

/// Shortest period a subscriber may ask for.
pub const RESOLUTION: Duration = Duration::from_millis(10);

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

/// Wakes its subscribers; one task serves them all.
pub struct Timer {
    subscribers: Arc<Mutex<Vec<Subscriber>>>,
}

impl Timer {
    /// Starts the timer task.
    pub fn spawn() -> Self {
        let subscribers = Arc::new(Mutex::new(Vec::new()));
        let weak = Arc::downgrade(&subscribers);
        task::spawn(async move {
            loop {
                task::sleep(RESOLUTION).await;
                let Some(list) = weak.upgrade() else { return };
                fire(&mut list.lock().unwrap(), Instant::now());
            }
        });
        Self { subscribers }
    }

    /// Ticks with the given period, rounded up to [`RESOLUTION`].
    ///
    /// A subscriber that is slow misses ticks instead of getting them late in a row.
    pub fn subscribe(&self, period: Duration) -> Ticks {
        let period = period.max(RESOLUTION);
        let (sender, receiver) = channel::bounded(1);
        let due = Instant::now() + period;
        self.subscribers
            .lock()
            .unwrap()
            .push(Subscriber { period, due, sender });
        Ticks { receiver }
    }
}

impl Service for Timer {
    const NAME: &'static str = "timer";

    async fn stop(&self) {
        self.subscribers.lock().unwrap().clear();
    }
}

fn fire(list: &mut Vec<Subscriber>, now: Instant) {
    list.retain_mut(|s| {
        if now < s.due {
            return true;
        }
        s.due = now + s.period;
        !matches!(s.sender.try_send(now), Err(channel::TrySendError::Closed(_)))
    });
}
