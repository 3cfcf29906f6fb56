//! Subcommands and the calls that they make.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use serde::Serialize;
use serde_json::Value;

use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::operator::params;

use crate::apply::Apply;
use crate::evacuation::Evacuation;
use crate::list::List;

/// A call to a control VM.
pub struct Call {
    /// Name of the method.
    pub method: &'static str,
    /// Parameters of the method.
    pub params: Value,
    /// Whether the call changes the configuration.
    pub is_change: bool,
}

fn read(method: &'static str, params: impl Serialize) -> Result<Call> {
    call(method, params, false)
}

fn change(method: &'static str, params: impl Serialize) -> Result<Call> {
    call(method, params, true)
}

/// Builds a call with its parameters as JSON.
///
/// # Errors
/// `BadParams` if they cannot be written as JSON.
pub fn call(method: &'static str, params: impl Serialize, is_change: bool) -> Result<Call> {
    let params =
        serde_json::to_value(params).map_err(|e| Error::new(Code::BadParams, format!("{method}: {e}")))?;
    Ok(Call {
        method,
        params,
        is_change,
    })
}

/// Subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Customer(Customer),
    Key(Key),
    Route(Route),
    Service(Service),
    Vm(Vm),
    Apply(Apply),
    Evacuation(Evacuation),
    Status(Status),
    Wait(Wait),
}

/// customers and their rates
#[derive(FromArgs)]
#[argh(subcommand, name = "customer")]
pub struct Customer {
    #[argh(subcommand)]
    command: CustomerCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CustomerCommand {
    Set(CustomerSet),
    Remove(CustomerRemove),
    Show(Show),
    List(List),
}

/// create a customer or replace its rate and burst
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct CustomerSet {
    /// name of the customer
    #[argh(option)]
    id: String,
    /// requests per second over the whole fleet
    #[argh(option)]
    rate: u32,
    /// requests that may come at once
    #[argh(option)]
    burst: u32,
    /// version that is replaced; 0 for a new customer (0)
    #[argh(option, default = "0")]
    expect: u64,
}

/// remove a customer and its withdrawn keys
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct CustomerRemove {
    /// name of the customer
    #[argh(option)]
    id: String,
    /// version that is removed
    #[argh(option)]
    expect: u64,
    /// remove keys that are not withdrawn as well
    #[argh(switch)]
    with_keys: bool,
}

/// caller keys
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    #[argh(subcommand)]
    command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeyCommand {
    Issue(KeyIssue),
    Withdraw(KeyWithdraw),
    List(KeyList),
}

/// make a key; it is printed once and cannot be shown again
#[derive(FromArgs)]
#[argh(subcommand, name = "issue")]
struct KeyIssue {
    /// owner of the key
    #[argh(option)]
    customer: String,
    /// public part of the key; made if absent
    #[argh(option)]
    id: Option<String>,
}

/// withdraw a key for good
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct KeyWithdraw {
    /// public part of the key
    #[argh(option)]
    id: String,
    /// version of the key
    #[argh(option)]
    expect: u64,
}

/// list keys without their secret part
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct KeyList {
    /// only the keys of this customer
    #[argh(option)]
    customer: Option<String>,
    /// only keys after this id
    #[argh(option)]
    after: Option<String>,
    /// keys in the answer at most (1000)
    #[argh(option)]
    count: Option<usize>,
}

/// routes from path prefixes to services
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
pub struct Route {
    #[argh(subcommand)]
    command: RouteCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RouteCommand {
    Set(RouteSet),
    Remove(Remove),
    Show(Show),
    List(List),
}

/// create a route or replace it
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct RouteSet {
    /// name of the route
    #[argh(option)]
    id: String,
    /// path prefix, for example /forecast
    #[argh(option)]
    prefix: String,
    /// service that runs the requests
    #[argh(option)]
    service: String,
    /// admit requests without a key
    #[argh(switch)]
    open: bool,
    /// all methods are idempotent, also POST and PATCH
    #[argh(switch)]
    idempotent: bool,
    /// refuse non-idempotent requests without an idempotency-key
    #[argh(switch)]
    require_id: bool,
    /// deadline in milliseconds of requests that state none; 0 for that of the VM (0)
    #[argh(option, default = "0")]
    limit_ms: u64,
    /// version that is replaced; 0 for a new route (0)
    #[argh(option, default = "0")]
    expect: u64,
}

/// services and their capacity floors
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct Service {
    #[argh(subcommand)]
    command: ServiceCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ServiceCommand {
    Set(ServiceSet),
    Remove(Remove),
    Show(Show),
    List(List),
}

/// create a service or replace its floor; the join secret of a new service is printed once
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
struct ServiceSet {
    /// name of the service
    #[argh(option)]
    id: String,
    /// healthy capacity in slots below which no upstream is ejected
    #[argh(option)]
    floor: u32,
    /// file with the join secret of the upstreams; without it a new service gets one
    #[argh(option)]
    join_secret: Option<PathBuf>,
    /// make a new join secret for a service that has one
    #[argh(switch)]
    new_secret: bool,
    /// version that is replaced; 0 for a new service (0)
    #[argh(option, default = "0")]
    expect: u64,
}

/// entry VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "vm")]
pub struct Vm {
    #[argh(subcommand)]
    command: VmCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum VmCommand {
    Remove(VmRemove),
    List(List),
}

/// remove an entry VM from the registry
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct VmRemove {
    /// name of the VM
    #[argh(option)]
    id: String,
    /// version that is removed
    #[argh(option)]
    expect: u64,
    /// its process has ended for certain, so it leaves the witness group at once
    #[argh(switch)]
    ended: bool,
}

/// remove the object
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// name of the object
    #[argh(option)]
    id: String,
    /// version that is removed
    #[argh(option)]
    expect: u64,
}

/// show one object
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// name of the object
    #[argh(option)]
    id: String,
}

/// state of the control VM that answers
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// wait until a version is in force on all registered VMs
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// version of the configuration
    #[argh(positional)]
    pub version: u64,
}

impl Command {
    /// Builds the call of this command; a change carries the change id.
    ///
    /// # Errors
    /// `Io` if a file cannot be read, `BadParams` if a file or the parameters are not valid.
    pub fn call(self, id: &str) -> Result<Call> {
        match self {
            Command::Customer(c) => c.command.call(id),
            Command::Key(c) => c.command.call(id),
            Command::Route(c) => c.command.call(id),
            Command::Service(c) => c.command.call(id),
            Command::Vm(c) => c.command.call(id),
            Command::Apply(c) => c.call(),
            Command::Evacuation(c) => c.call(),
            Command::Status(_) => read("status", params::StatusParams {}),
            Command::Wait(w) => read(
                "version.wait",
                params::VersionWait {
                    version: w.version,
                    wait_ms: 0,
                },
            ),
        }
    }
}

impl CustomerCommand {
    fn call(self, id: &str) -> Result<Call> {
        match self {
            CustomerCommand::Set(c) => change(
                "customer.set",
                params::CustomerSet {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                    rate: c.rate,
                    burst: c.burst,
                },
            ),
            CustomerCommand::Remove(c) => change(
                "customer.remove",
                params::CustomerRemove {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                    with_keys: c.with_keys,
                },
            ),
            CustomerCommand::Show(c) => c.call("customer.show"),
            CustomerCommand::List(c) => c.call("customer.list"),
        }
    }
}

impl KeyCommand {
    fn call(self, id: &str) -> Result<Call> {
        match self {
            KeyCommand::Issue(c) => change(
                "key.issue",
                params::KeyIssue {
                    change: id.into(),
                    customer: c.customer.into(),
                    id: c.id.map(Into::into),
                },
            ),
            KeyCommand::Withdraw(c) => change(
                "key.withdraw",
                params::ById {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                },
            ),
            KeyCommand::List(c) => read(
                "key.list",
                params::KeyList {
                    customer: c.customer.map(Into::into),
                    after: c.after.map(Into::into),
                    limit: c.count,
                },
            ),
        }
    }
}

impl RouteCommand {
    fn call(self, id: &str) -> Result<Call> {
        match self {
            RouteCommand::Set(c) => change(
                "route.set",
                params::RouteSet {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                    prefix: c.prefix.into(),
                    service: c.service.into(),
                    open: c.open,
                    idempotent: c.idempotent,
                    require_id: c.require_id,
                    limit_ms: c.limit_ms,
                },
            ),
            RouteCommand::Remove(c) => c.call("route.remove", id),
            RouteCommand::Show(c) => c.call("route.show"),
            RouteCommand::List(c) => c.call("route.list"),
        }
    }
}

impl ServiceCommand {
    fn call(self, id: &str) -> Result<Call> {
        match self {
            ServiceCommand::Set(c) => change(
                "service.set",
                params::ServiceSet {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                    floor: c.floor,
                    secret: c.join_secret.as_deref().map(read_secret).transpose()?,
                    new_secret: c.new_secret,
                },
            ),
            ServiceCommand::Remove(c) => c.call("service.remove", id),
            ServiceCommand::Show(c) => c.call("service.show"),
            ServiceCommand::List(c) => c.call("service.list"),
        }
    }
}

impl VmCommand {
    fn call(self, id: &str) -> Result<Call> {
        match self {
            VmCommand::Remove(c) => change(
                "vm.remove",
                params::VmRemove {
                    change: id.into(),
                    expect: c.expect,
                    id: c.id.into(),
                    ended: c.ended,
                },
            ),
            VmCommand::List(c) => c.call("vm.list"),
        }
    }
}

impl Remove {
    fn call(self, method: &'static str, id: &str) -> Result<Call> {
        let params = params::ById {
            change: id.into(),
            expect: self.expect,
            id: self.id.into(),
        };
        change(method, params)
    }
}

impl Show {
    fn call(self, method: &'static str) -> Result<Call> {
        read(method, params::Show { id: self.id.into() })
    }
}

/// Reads a secret from a file; other users of the machine could read it in a command line.
fn read_secret(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::io(path.display(), &e))?;
    Ok(text.trim().into())
}
