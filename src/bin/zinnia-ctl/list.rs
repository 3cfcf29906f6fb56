//! The subcommand that lists the objects of a kind.

use argh::FromArgs;
use zinnialoom::error::Result;
use zinnialoom::operator::params;

use crate::command::Call;
use crate::command::call;

/// list the objects, ordered by name
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {
    /// only objects after this name
    #[argh(option)]
    after: Option<String>,
    /// objects in the answer at most (1000)
    #[argh(option)]
    count: Option<usize>,
}

impl List {
    /// Builds the call of a list method.
    ///
    /// # Errors
    /// `BadParams` if the parameters cannot be written as JSON.
    pub fn call(self, method: &'static str) -> Result<Call> {
        let params = params::List {
            after: self.after.map(Into::into),
            limit: self.count,
        };
        call(method, params, false)
    }
}
