//! Component that runs the gossip rounds of the membership and accepts announcements of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use crate::clients::Clients;
use crate::code::Code;
use crate::component::Component;
use crate::error::Error;
use crate::error::Result;
use crate::event;
use crate::event::About;
use crate::event::Kind;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::id::VmName;
use crate::job::Jobs;
use crate::limits::LiveVms;
use crate::member::Announcement;
use crate::member::GOSSIP_PERIOD;
use crate::member::GossipMessage;
use crate::member::LiveVm;
use crate::member::MembershipState;
use crate::member::UpstreamState;
use crate::member::VmEndpoint;
use crate::secret;
use crate::settings::is_name;
use crate::stage::Config;
use crate::timer::Timer;
use crate::view::View;

/// Name of the RPC method that exchanges gossip messages between entry VMs.
pub const GOSSIP_METHOD: &str = "peer.gossip";
/// Changes that a peer has not acknowledged within this time are sent again in a later round.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Upper bound of the slots and of the connections that an upstream may announce.
const MAX_ANNOUNCED_SIZE: u32 = 100_000;

/// Identity and address of this VM.
#[derive(Debug, Clone)]
pub struct VmIdentity {
    /// Name.
    pub vm: VmName,
    /// Failure domain.
    pub domain: crate::id::DomainName,
    /// Address for calls between processes.
    pub peer: SocketAddr,
    /// Number of this run, larger than that of earlier runs.
    pub incarnation: Incarnation,
}

struct Shared<C> {
    core: Mutex<MembershipState>,
    config: Arc<C>,
    clients: Arc<Clients>,
    /// Requests in flight at this VM, sent with its heartbeats.
    load: AtomicU32,
    observed: Mutex<Observed>,
}

/// Membership at the last round; events are recorded for the differences.
#[derive(Default)]
struct Observed {
    live: BTreeSet<VmName>,
    upstreams: BTreeMap<(ServiceId, UpstreamId), UpstreamState>,
}

/// The running component; answers which entry VMs are live and which upstreams are announced.
pub struct Membership<C> {
    shared: Arc<Shared<C>>,
    jobs: Jobs,
}

impl<C: Config> Membership<C> {
    /// Starts the gossip rounds.
    pub fn spawn(me: &VmIdentity, seed: u64, config: Arc<C>, clients: Arc<Clients>, timer: &Timer) -> Self {
        let core = MembershipState::new(me.vm.clone(), me.peer, me.incarnation, Instant::now(), seed);
        let shared = Arc::new(Shared {
            core: Mutex::new(core),
            config,
            clients,
            load: AtomicU32::new(0),
            observed: Mutex::default(),
        });
        let jobs = Jobs::default();
        let ticks = timer.subscribe(GOSSIP_PERIOD);
        let worker = Arc::clone(&shared);
        jobs.spawn(async move {
            while let Some(now) = ticks.next().await {
                worker.round(now);
            }
        });
        Self { shared, jobs }
    }

    /// Adds `peer.gossip` to the methods of the process.
    ///
    /// # Errors
    /// `Kernel` if the method is already registered.
    pub fn register(&self, module: &mut RpcModule<()>) -> Result<()> {
        let shared = Arc::clone(&self.shared);
        module
            .register_method(
                GOSSIP_METHOD,
                move |params, _, _| -> std::result::Result<GossipMessage, ErrorObjectOwned> {
                    Ok(shared.answer(params.parse::<GossipMessage>()?))
                },
            )
            .map_err(|e| Error::new(Code::Kernel, e.to_string()))?;
        Ok(())
    }

    /// Accepts an announcement of an upstream with the `authorization` header of its request.
    ///
    /// # Errors
    /// `NotFound` for an unknown service, `Unauthorized` for a wrong secret, `BadParams` for a malformed
    /// name or a size out of range.
    pub fn announce(&self, header: Option<&str>, announcement: Announcement) -> Result<()> {
        validate(&announcement)?;
        let view = self.shared.config.view();
        let service = view
            .services
            .get(&announcement.service)
            .ok_or_else(|| Error::new(Code::NotFound, format!("service {}", announcement.service)))?;
        let given = header.and_then(|h| h.strip_prefix("Bearer ")).unwrap_or_default();
        if !secret::digests_match(&secret::digest(given), &service.join_digest) {
            return Err(Error::new(
                Code::Unauthorized,
                format!("join secret of service {}", service.id),
            ));
        }
        let now = Instant::now();
        let is_new = self.shared.core.lock().unwrap().announce(announcement, now);
        if is_new {
            self.shared.push();
        }
        Ok(())
    }

    /// Marks this VM as leaving and sends this to all peers.
    pub fn leave(&self) {
        self.shared.core.lock().unwrap().leave(Instant::now());
        self.shared.push();
    }

    /// Live registered VMs that are not leaving.
    pub fn live(&self) -> Vec<LiveVm> {
        self.shared.core.lock().unwrap().live(Instant::now())
    }

    /// Names of the live VMs with a confirmed configuration, which may hold leases, in ascending order.
    pub fn lease_eligible(&self, now: Instant) -> Vec<VmName> {
        let live = self.shared.core.lock().unwrap().live(now);
        live.into_iter().filter(|l| !l.stale).map(|l| l.vm).collect()
    }

    /// Upstreams whose latest announcement is recent, and when they made it.
    pub fn upstreams(&self) -> Vec<(Announcement, Instant)> {
        let core = self.shared.core.lock().unwrap();
        core.upstreams(Instant::now())
            .map(|(a, announced_at)| (a.clone(), announced_at))
            .collect()
    }

    /// Address of a VM for calls between processes.
    pub fn peer(&self, vm: &VmName) -> Option<SocketAddr> {
        self.shared.core.lock().unwrap().endpoint(vm).map(|p| p.peer)
    }

    /// Whether a VM's heartbeat advanced recently.
    pub fn is_live(&self, vm: &VmName) -> bool {
        self.shared.core.lock().unwrap().is_live(vm, Instant::now())
    }

    /// Sets the requests in flight at this VM, by which the directories of all VMs spread callers.
    pub fn set_load(&self, requests: u32) {
        self.shared.load.store(requests, Ordering::Relaxed);
    }
}

impl<C: Config> LiveVms for Membership<C> {
    fn live_vms(&self, now: Instant) -> Vec<VmName> {
        self.lease_eligible(now)
    }
}

impl<C: Config> Component for Membership<C> {
    const NAME: &'static str = "member";

    async fn stop(&self) {
        self.jobs.stop().await;
    }
}

impl<C: Config> Shared<C> {
    fn round(self: &Arc<Self>, now: Instant) {
        let view = self.config.view();
        let load = self.load.load(Ordering::Relaxed);
        let chosen = {
            let mut core = self.core.lock().unwrap();
            core.set_endpoints(endpoints(&view));
            core.tick(now, load, view.version, !self.config.is_fresh(now))
        };
        self.record_events(now);
        for peer in chosen {
            self.send(peer);
        }
    }

    /// Sends a message to all peers without waiting for the next round.
    fn push(self: &Arc<Self>) {
        let peers: Vec<VmName> = self.core.lock().unwrap().peers().collect();
        for peer in peers {
            self.send(peer);
        }
    }

    fn send(self: &Arc<Self>, to: VmName) {
        let shared = Arc::clone(self);
        task::spawn(async move {
            let Some((client, message)) = shared.message_for(&to) else {
                return;
            };
            let answer: Result<GossipMessage> = client.call(GOSSIP_METHOD, &message, CALL_TIMEOUT).await;
            if let Ok(answer) = answer {
                shared.core.lock().unwrap().receive(answer, Instant::now());
            }
        });
    }

    fn message_for(&self, to: &VmName) -> Option<(Arc<crate::rpc::Client>, GossipMessage)> {
        let core = self.core.lock().unwrap();
        let address = core.endpoint(to)?.peer;
        Some((self.clients.client(address), core.message(to, Instant::now())))
    }

    /// Applies the message of a peer; returns the message with the changes that the peer lacks.
    fn answer(&self, message: GossipMessage) -> GossipMessage {
        let now = Instant::now();
        let from = message.from.clone();
        self.clients.add_peer(&from, message.address);
        let mut core = self.core.lock().unwrap();
        core.receive(message, now);
        core.message(&from, now)
    }

    fn record_events(&self, now: Instant) {
        let core = self.core.lock().unwrap();
        let live: BTreeSet<VmName> = core.live(now).into_iter().map(|l| l.vm).collect();
        let upstreams: BTreeMap<(ServiceId, UpstreamId), UpstreamState> = core
            .upstreams(now)
            .map(|(a, _)| ((a.service.clone(), a.upstream.clone()), a.state))
            .collect();
        let mut observed = self.observed.lock().unwrap();
        for vm in live.difference(&observed.live) {
            event::record(Kind::MemberUp, About::detail(vm.as_str()));
        }
        for vm in observed.live.difference(&live) {
            let is_leaving = core.last_heartbeat(vm).is_some_and(|h| h.leaving);
            let kind = if is_leaving {
                Kind::MemberLeaving
            } else {
                Kind::MemberDown
            };
            event::record(kind, About::detail(vm.as_str()));
        }
        for (key, state) in &upstreams {
            if observed.upstreams.get(key) != Some(state) {
                let about = About::detail(state.to_string()).upstream(&key.0, &key.1);
                event::record(Kind::UpstreamState, about);
            }
        }
        for key in observed.upstreams.keys().filter(|k| !upstreams.contains_key(k)) {
            event::record(Kind::UpstreamSilent, About::default().upstream(&key.0, &key.1));
        }
        *observed = Observed { live, upstreams };
    }
}

fn endpoints(view: &View) -> BTreeMap<VmName, VmEndpoint> {
    let endpoint = |vm: &crate::view::Vm| VmEndpoint {
        peer: vm.peer,
        caller: vm.caller,
        domain: vm.domain.clone(),
    };
    view.vms
        .values()
        .map(|vm| (vm.name.clone(), endpoint(vm)))
        .collect()
}

fn validate(announcement: &Announcement) -> Result<()> {
    let names = [
        &announcement.service,
        &announcement.upstream,
        &announcement.domain,
    ];
    if let Some(name) = names.into_iter().find(|n| !is_name(n)) {
        return Err(Error::new(Code::BadParams, format!("{name:?} is not a name")));
    }
    let sizes = [announcement.slots, announcement.connections];
    if sizes.iter().any(|s| !(1..=MAX_ANNOUNCED_SIZE).contains(s)) {
        let text = format!("slots and connections must be from 1 to {MAX_ANNOUNCED_SIZE}");
        return Err(Error::new(Code::BadParams, text));
    }
    Ok(())
}
