//! Start and stop of an entry process: creates its components and opens its ports.

mod gauges;
mod handlers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_std::task;
use jsonrpsee::RpcModule;
use log::warn;

use crate::allocator;
use crate::claims::FleetClaims;
use crate::clients::Clients;
use crate::component::Components;
use crate::connection_budget::ConnectionBudget;
use crate::crashes::FleetQuarantine;
use crate::entry::gauges::Gauges;
use crate::entry::handlers::AddressDirectory;
use crate::entry::handlers::PeerHandler;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::failpoint;
use crate::feed;
use crate::feed::ConfigFeed;
use crate::gossip::Membership;
use crate::gossip::VmIdentity;
use crate::http;
use crate::http::HttpServer;
use crate::id::Incarnation;
use crate::job::Jobs;
use crate::limits::FleetLimits;
use crate::proxy::Proxy;
use crate::proxy::ProxySettings;
use crate::proxy::StageSet;
use crate::proxy::Stages;
use crate::rpc;
use crate::secret::Secret;
use crate::settings::EntrySettings;
use crate::stop::StopLog;
use crate::timer::Timer;
use crate::upstreams::Upstreams;

/// Maximum number of open connections on the peer port, which other processes and upstreams use.
const MAX_PEER_CONNECTIONS: usize = 2_000;
/// Interval at which the gauges are updated.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);
/// Time that the start waits for a control VM to return the incarnation registered last for this VM.
const PREVIOUS_RUN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a stop waits for requests after the address time to live has passed, in addition to the request
/// limit of the settings; also the time that it waits for calls on the peer port.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

type Members = Membership<ConfigFeed>;
type Limits = FleetLimits<ConfigFeed, Members>;

/// Types of the stages that the proxy of an entry process uses.
pub struct EntryStages;

impl Stages for EntryStages {
    type Config = ConfigFeed;
    type Limits = Limits;
    type Claims = FleetClaims<ConfigFeed>;
    type Chooser = Upstreams<ConfigFeed, Limits>;
    type Quarantine = FleetQuarantine<ConfigFeed>;
    type Directory = AddressDirectory;
}

/// A running entry process.
pub struct Entry {
    components: Components,
    members: Arc<Members>,
    proxy: Proxy<EntryStages>,
    caller_server: HttpServer,
    peer_server: HttpServer,
    jobs: Jobs,
    address_ttl: Duration,
    stop_timeout: Duration,
}

impl Entry {
    /// Starts all components and opens both ports.
    ///
    /// # Errors
    /// `Bind` if an address cannot be bound, `Kernel` if a component, method or metric is registered twice.
    pub async fn open(settings: &EntrySettings, secret: Secret) -> Result<Self> {
        let common = &settings.common;
        event::open(&common.vm, &common.domain, common.event_count);
        let clients = Arc::new(Clients::new(secret.clone()));
        let previous_run =
            feed::find_previous_run(&common.vm, &common.control, &clients, PREVIOUS_RUN_TIMEOUT).await;
        let me = VmIdentity {
            vm: common.vm.clone(),
            domain: common.domain.clone(),
            peer: settings.peer,
            incarnation: next_incarnation(previous_run.incarnation),
        };
        let is_first = previous_run.is_known && previous_run.incarnation.is_none();
        let seed = rand::random();

        let components = Components::new();
        let timer = components.register(Timer::spawn())?;
        let feed = components.register(ConfigFeed::spawn(settings, &me, Arc::clone(&clients), &timer))?;
        let members = Membership::spawn(&me, seed, Arc::clone(&feed), Arc::clone(&clients), &timer);
        let members = components.register(members)?;
        let limits = components.register(FleetLimits::spawn(
            me.vm.clone(),
            me.incarnation,
            secret.clone(),
            Arc::clone(&feed),
            Arc::clone(&members),
            &timer,
        ))?;
        let claims = components.register(FleetClaims::spawn(
            me.vm.clone(),
            me.incarnation,
            is_first,
            secret.clone(),
            Arc::clone(&feed),
            &timer,
        ))?;
        let quarantine =
            FleetQuarantine::spawn(me.vm.clone(), me.incarnation, secret.clone(), Arc::clone(&feed));
        let quarantine = components.register(quarantine)?;
        let chooser = components.register(Upstreams::spawn(
            &me,
            seed,
            Arc::clone(&feed),
            Arc::clone(&members),
            Arc::clone(&limits),
            clients,
            &timer,
        ))?;

        let gauges = Gauges::register(prometheus::default_registry())?;
        let jobs = Jobs::default();
        let ticks = timer.subscribe(GAUGE_PERIOD);
        let (gauge_feed, gauge_members, gauge_chooser) =
            (Arc::clone(&feed), Arc::clone(&members), Arc::clone(&chooser));
        jobs.spawn(async move {
            while ticks.next().await.is_some() {
                gauges.update(&gauge_feed, &gauge_members, gauge_chooser.in_flight());
            }
        });

        let mut module = RpcModule::new(());
        feed.register(&mut module)?;
        members.register(&mut module)?;
        limits.register(&mut module)?;
        claims.register(&mut module)?;
        quarantine.register(&mut module)?;
        chooser.register(&mut module)?;
        event::register(&mut module)?;
        failpoint::register(&mut module)?;
        let handler = PeerHandler::new(rpc::Server::new(module, secret), Arc::clone(&members));
        let budget = ConnectionBudget::new(settings.connection_memory);
        let peer_server =
            http::bind(settings.peer, peer_limits(settings, &budget), Arc::new(handler)).await?;

        let stages = StageSet {
            config: feed,
            limits,
            claims,
            chooser,
            quarantine,
            directory: Arc::new(AddressDirectory::new(
                Arc::clone(&members),
                settings.address_ttl,
                seed,
            )),
        };
        let proxy = Proxy::spawn(
            stages,
            ProxySettings::from(settings),
            prometheus::default_registry(),
        )?;
        allocator::spawn(&timer, Arc::clone(&budget), vec![Arc::clone(proxy.bodies())]);
        let caller_server = http::bind(
            settings.caller,
            caller_limits(settings, &budget),
            Arc::new(proxy.clone()),
        )
        .await?;
        event::record(
            Kind::Started,
            About::detail(format!("incarnation {}", me.incarnation)),
        );
        Ok(Self {
            components,
            members,
            proxy,
            caller_server,
            peer_server,
            jobs,
            address_ttl: settings.address_ttl,
            stop_timeout: settings.request_limit + STOP_TIMEOUT,
        })
    }

    /// Address of the caller port.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Stops the process: leaves the address directory, accepts requests until the addresses that callers
    /// hold have expired, waits for running requests and stops the components.
    pub async fn stop(&self) {
        event::record(Kind::Stopping, About::default());
        let log = StopLog::begin(
            &self.caller_server,
            &self.proxy,
            self.address_ttl,
            self.stop_timeout,
        );
        self.members.leave();
        self.caller_server.drain();
        task::sleep(self.address_ttl).await;
        self.caller_server.close();
        log.port_closed();
        self.caller_server.stop(self.stop_timeout).await;
        self.proxy.stop(self.stop_timeout).await;
        log.finished();
        let open = self.peer_server.stop(STOP_TIMEOUT).await;
        if open > 0 {
            let requests = self.peer_server.requests();
            warn!("peer port stop timed out: connections={open} requests={requests}");
        }
        self.jobs.stop().await;
        self.components.stop().await;
        event::record(Kind::Stopped, About::default());
        log.stopped();
    }
}

/// Incarnation of this run: milliseconds since 1970, but larger than that of the previous run in any case.
fn next_incarnation(previous: Option<Incarnation>) -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    previous.map_or(millis, |p| millis.max(p + 1))
}

fn caller_limits(settings: &EntrySettings, budget: &Arc<ConnectionBudget>) -> http::Limits {
    http::Limits {
        max_connections: settings.connections,
        read_timeout: settings.read_limit,
        budget: Arc::clone(budget),
        ..http::Limits::default()
    }
}

fn peer_limits(settings: &EntrySettings, budget: &Arc<ConnectionBudget>) -> http::Limits {
    http::Limits {
        max_connections: MAX_PEER_CONNECTIONS,
        read_timeout: settings.read_limit,
        budget: Arc::clone(budget),
        ..http::Limits::default()
    }
}
