//! Registry of the components of a process, such as its timer and its configuration feed.

use std::any::Any;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;

use crate::code::Code;
use crate::error::Error;
use crate::error::Result;

/// A part of a process that is looked up by its type and stopped with the process.
pub trait Component: Send + Sync + 'static {
    /// The name under which the component registers, unique in a process.
    const NAME: &'static str;

    /// Ends the component; called once, after all components registered later have stopped.
    fn stop(&self) -> impl Future<Output = ()> + Send;
}

type Stop = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

struct Entry {
    name: &'static str,
    component: Arc<dyn Any + Send + Sync>,
    stop: Stop,
}

/// The registry of the components of one process.
///
/// Components look each other up while they are set up, and keep the handle: the request path
/// never goes through the registry.
#[derive(Default)]
pub struct Components {
    entries: Mutex<Vec<Entry>>,
}

impl Components {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a running component.
    ///
    /// # Errors
    /// `Kernel` if the name is taken.
    pub fn register<C: Component>(&self, component: C) -> Result<Arc<C>> {
        let component = Arc::new(component);
        let mut entries = self.entries.lock().unwrap();
        if entries.iter().any(|e| e.name == C::NAME) {
            return Err(Error::new(
                Code::Kernel,
                format!("service {} is registered twice", C::NAME),
            ));
        }
        let handle = Arc::clone(&component);
        let stop: Stop = Box::new(move || {
            let handle = Arc::clone(&handle);
            Box::pin(async move { handle.stop().await })
        });
        entries.push(Entry {
            name: C::NAME,
            component: component.clone(),
            stop,
        });
        Ok(component)
    }

    /// The component of this type.
    ///
    /// # Errors
    /// `Kernel` if it is not registered.
    pub fn find<C: Component>(&self) -> Result<Arc<C>> {
        let entries = self.entries.lock().unwrap();
        let found = entries
            .iter()
            .find(|e| e.name == C::NAME)
            .map(|e| Arc::clone(&e.component));
        found
            .and_then(|c| c.downcast::<C>().ok())
            .ok_or_else(|| Error::new(Code::Kernel, format!("service {} is not registered", C::NAME)))
    }

    /// Stops all components, the last registered first.
    pub async fn stop(&self) {
        let mut entries = std::mem::take(&mut *self.entries.lock().unwrap());
        while let Some(entry) = entries.pop() {
            (entry.stop)().await;
        }
    }
}
