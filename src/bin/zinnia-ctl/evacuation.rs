//! The subcommands that evacuate failure domains.

use argh::FromArgs;
use zinnialoom::error::Result;
use zinnialoom::operator::params::domain::DomainOrder;

use crate::command::Call;
use crate::command::call;
use crate::list::List;

/// failure domains whose upstreams get no requests
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuation")]
pub struct Evacuation {
    #[argh(subcommand)]
    command: EvacuationCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum EvacuationCommand {
    Start(Start),
    End(End),
    List(List),
}

/// send no more requests to the upstreams of a failure domain; may be repeated
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct Start {
    /// name of the failure domain
    #[argh(positional)]
    domain: String,
}

/// send requests to the upstreams of a failure domain again; may be repeated
#[derive(FromArgs)]
#[argh(subcommand, name = "end")]
struct End {
    /// name of the failure domain
    #[argh(positional)]
    domain: String,
}

impl Evacuation {
    /// Builds the call. It has no change id, since an order may be repeated.
    ///
    /// # Errors
    /// `BadParams` if the parameters cannot be written as JSON.
    pub fn call(self) -> Result<Call> {
        let order = |domain: String| DomainOrder { id: domain.into() };
        match self.command {
            EvacuationCommand::Start(c) => call("domain.evacuate", order(c.domain), true),
            EvacuationCommand::End(c) => call("domain.restore", order(c.domain), true),
            EvacuationCommand::List(c) => c.call("domain.list"),
        }
    }
}
