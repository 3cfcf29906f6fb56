//! VMs with the limit, claim and quarantine services in one process, on loopback.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;
use futures::StreamExt;
use jsonrpsee::RpcModule;
use zinnialoom::claims::FleetClaims;
use zinnialoom::crashes::FleetQuarantine;
use zinnialoom::id::VmName;
use zinnialoom::limits::FleetLimits;
use zinnialoom::limits::LiveVms;
use zinnialoom::rpc::Server;
use zinnialoom::secret::Secret;
use zinnialoom::stage::Config;
use zinnialoom::timer::Timer;
use zinnialoom::view::Customer;
use zinnialoom::view::Limit;
use zinnialoom::view::View;
use zinnialoom::view::Vm;

/// Configuration of one VM: always fresh, and changed only by a test.
pub struct FixedConfig(pub Mutex<Arc<View>>);

impl Config for FixedConfig {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.0.lock().unwrap())
    }

    fn is_fresh(&self, _: Instant) -> bool {
        true
    }
}

/// Membership of one VM: all VMs are always alive.
pub struct FixedMembers(pub Vec<VmName>);

impl LiveVms for FixedMembers {
    fn live_vms(&self, _: Instant) -> Vec<VmName> {
        self.0.clone()
    }
}

/// One VM, served on loopback.
pub struct LocalVm {
    #[allow(dead_code, reason = "used by tests/limit_services.rs")]
    pub config: Arc<FixedConfig>,
    pub limits: FleetLimits<FixedConfig, FixedMembers>,
    pub claims: FleetClaims<FixedConfig>,
    pub quarantine: FleetQuarantine<FixedConfig>,
    _timer: Timer,
}

pub fn customer() -> Customer {
    Customer {
        id: "c".into(),
        limit: Limit { rate: 40, burst: 30 },
        version: 1,
        ..Customer::default()
    }
}

/// Starts VMs with a common configuration that lists them all.
pub async fn start_fleet(count: usize) -> Vec<LocalVm> {
    let mut listeners = Vec::new();
    let mut view = View {
        version: 1,
        ..View::default()
    };
    for n in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let peer = listener.local_addr().unwrap();
        let name = VmName::from(format!("vm{n}"));
        let vm = Vm {
            name: name.clone(),
            domain: format!("d{}", n % 3).into(),
            caller: peer,
            peer,
            incarnation: 1,
            version: 1,
        };
        view.vms.insert(name.clone(), vm);
        view.witnesses.current.push(name);
        listeners.push(listener);
    }
    view.customers.insert("c".into(), customer());
    let view = Arc::new(view);
    listeners
        .into_iter()
        .enumerate()
        .map(|(n, l)| start_vm(n, l, &view))
        .collect()
}

pub fn fleet_secret() -> Secret {
    Secret::new("a secret of the test fleet")
}

fn start_vm(n: usize, listener: TcpListener, view: &Arc<View>) -> LocalVm {
    let name = VmName::from(format!("vm{n}"));
    let secret = fleet_secret();
    let config = Arc::new(FixedConfig(Mutex::new(Arc::clone(view))));
    let members = Arc::new(FixedMembers(view.vms.keys().cloned().collect()));
    let timer = Timer::spawn();
    let limits = FleetLimits::spawn(
        name.clone(),
        1,
        secret.clone(),
        Arc::clone(&config),
        members,
        &timer,
    );
    let claims = FleetClaims::spawn(name.clone(), 1, true, secret.clone(), Arc::clone(&config), &timer);
    let quarantine = FleetQuarantine::spawn(name, 1, secret.clone(), Arc::clone(&config));
    let mut module = RpcModule::new(());
    limits.register(&mut module).unwrap();
    claims.register(&mut module).unwrap();
    quarantine.register(&mut module).unwrap();
    let server = Server::new(module, secret);
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            let server = server.clone();
            task::spawn(async move {
                let answer = |request| {
                    let server = server.clone();
                    async move { Ok(server.respond(request).await) }
                };
                let _ = async_h1::accept(stream, answer).await;
            });
        }
    });
    LocalVm {
        config,
        limits,
        claims,
        quarantine,
        _timer: timer,
    }
}

/// Waits until the condition holds.
pub async fn wait_until(limit: Duration, condition: impl Fn() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        assert!(
            Instant::now() < end,
            "the condition did not hold within {limit:?}"
        );
        task::sleep(Duration::from_millis(50)).await;
    }
}
