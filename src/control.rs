//! Starts and stops the components of a control process.

mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use jsonrpsee::RpcModule;
use log::info;
use prometheus::Registry;

use crate::allocator;
use crate::catalog::Catalog;
use crate::code::Code;
use crate::component::Components;
use crate::connection_budget::ConnectionBudget;
use crate::control::server::ControlState;
use crate::control::server::Gauges;
use crate::control::server::HttpComponent;
use crate::control::server::RequestHandler;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::failpoint;
use crate::operator::Operator;
use crate::operator::OperatorComponent;
use crate::replication::Replication;
use crate::rpc;
use crate::secret::Secret;
use crate::settings::ControlSettings;
use crate::timer::Timer;

/// Interval at which a running process checks whether the replica has failed.
const FAILURE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// A running control process.
pub struct Control {
    components: Components,
    replication: Arc<Replication<Catalog>>,
    address: SocketAddr,
}

/// The JSON-RPC methods of a control process, by the secret that a call must carry.
pub struct RpcModules {
    /// Methods for the operator secret.
    pub operators: RpcModule<()>,
    /// Methods for the fleet secret.
    pub processes: RpcModule<()>,
}

/// Reads the secrets of a control process.
///
/// # Errors
/// `Settings` if a file cannot be read or both hold the same secret.
pub fn load_secrets(settings: &ControlSettings) -> Result<(Secret, Secret)> {
    let operator = Secret::open(&settings.operator_secret)?;
    let fleet = Secret::open(&settings.common.fleet_secret)?;
    if operator.admits(Some(&fleet.header())) {
        let detail = "operator_secret and fleet_secret hold the same secret";
        return Err(Error::new(Code::Settings, detail));
    }
    Ok((operator, fleet))
}

/// Registers all JSON-RPC methods of a control process.
///
/// # Errors
/// `Kernel` if a method is registered twice.
pub fn rpc_modules(operator: &Arc<Operator>, replication: &Replication<Catalog>) -> Result<RpcModules> {
    let mut processes = operator.process_module()?;
    replication.register(&mut processes)?;
    event::register(&mut processes)?;
    failpoint::register(&mut processes)?;
    Ok(RpcModules {
        operators: operator.operator_module()?,
        processes,
    })
}

impl Control {
    /// Starts all components and the HTTP server.
    ///
    /// # Errors
    /// `Settings`, `Bind`, `Io` or `Corrupt`.
    pub async fn open(settings: &ControlSettings) -> Result<Self> {
        let (operator_secret, fleet_secret) = load_secrets(settings)?;
        let common = &settings.common;
        event::open(&common.vm, &common.domain, common.event_count);
        let budget = ConnectionBudget::new(settings.connection_memory);
        // The address is bound first, so that a second process fails before it opens the files of the first.
        let handler = Arc::new(RequestHandler::default());
        let server = HttpComponent::bind(settings.bind, &handler, &budget).await?;
        let components = Components::new();
        let registry = Registry::new();
        let timer = components.register(Timer::spawn())?;
        allocator::spawn(&timer, budget, Vec::new());
        let replication = Replication::open(settings, fleet_secret.clone(), Catalog::new(), &timer).await?;
        let replication = components.register(replication)?;
        let operator = Operator::spawn(
            settings,
            &operator_secret,
            &fleet_secret,
            Arc::clone(&replication),
            &timer,
            &registry,
        )?;
        components.register(OperatorComponent(Arc::clone(&operator)))?;
        let modules = rpc_modules(&operator, &replication)?;
        handler.start(ControlState {
            operators: rpc::Server::new(modules.operators, operator_secret),
            processes: rpc::Server::new(modules.processes, fleet_secret),
            operator,
            replication: Arc::clone(&replication),
            gauges: Gauges::register(&registry)?,
            registry,
        });
        // Registered last and so stopped first: calls in progress are answered before other components stop.
        let server = components.register(server)?;
        let address = server.address();
        info!("control VM {} answers calls on {address}", common.vm);
        event::record(Kind::Started, About::detail(format!("control on {address}")));
        Ok(Self {
            components,
            replication,
            address,
        })
    }

    /// The bound address of the HTTP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the replica fails and returns the error: a failed disk or a damaged file.
    pub async fn failed(&self) -> Error {
        loop {
            if let Some(error) = self.replication.failure() {
                return error;
            }
            task::sleep(FAILURE_CHECK_PERIOD).await;
        }
    }

    /// Finishes the calls in progress and stops all components.
    pub async fn stop(&self) {
        event::record(Kind::Stopping, About::default());
        info!("stopping");
        self.components.stop().await;
        info!("stopped");
    }
}
