//! The subcommand that replaces the whole configuration by an edition: a complete configuration with an
//! ascending number. An edition that is applied makes a new version of the configuration, as other changes
//! do.

use std::path::PathBuf;

use argh::FromArgs;
use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::operator::params;

use crate::command::Call;
use crate::command::call;

/// replace all customers, keys, routes and services by those of a file
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// JSON file with number, customers, services and routes
    #[argh(positional)]
    file: PathBuf,
    /// print what would change, and change nothing
    #[argh(switch)]
    plan: bool,
}

impl Apply {
    /// Builds the call. It has no change id, since the number of the edition already makes a repeated call
    /// harmless.
    ///
    /// # Errors
    /// `Io` if the file cannot be read, `BadParams` if it is not a valid edition.
    pub fn call(self) -> Result<Call> {
        let bad_params =
            |e: serde_json::Error| Error::new(Code::BadParams, format!("{}: {e}", self.file.display()));
        let text = std::fs::read_to_string(&self.file).map_err(|e| Error::io(self.file.display(), &e))?;
        let mut params: params::EditionApply = serde_json::from_str(&text).map_err(bad_params)?;
        params.plan |= self.plan;
        let is_plan = params.plan;
        call("edition.apply", params, !is_plan)
    }
}
