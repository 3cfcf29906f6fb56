//! Background tasks of a component, which are cancelled when the component stops.

use std::future::Future;
use std::sync::Mutex;

use async_std::task;
use async_std::task::JoinHandle;

/// Tasks that run until [`Jobs::stop`].
#[derive(Default)]
pub struct Jobs(Mutex<Vec<JoinHandle<()>>>);

impl Jobs {
    /// Starts a task.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.0.lock().unwrap().push(task::spawn(work));
    }

    /// Cancels all tasks and waits until they have ended.
    pub async fn stop(&self) {
        let tasks = std::mem::take(&mut *self.0.lock().unwrap());
        for task in tasks {
            task.cancel().await;
        }
    }
}
