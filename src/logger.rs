//! Log set-up on fern: text or JSON lines on standard error.

use std::io;

use log::LevelFilter;

use crate::clock;
use crate::code::Code;
use crate::error::Error;
use crate::error::Result;
use crate::settings::Common;

/// Starts logging for this process.
///
/// # Errors
/// `Kernel` if logging was started before.
pub fn open(common: &Common) -> Result<()> {
    let vm = common.vm.clone();
    let json = common.log_json;
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zinnialoom", LevelFilter::Info)
        .format(move |out, message, record| {
            let millis = clock::millis(clock::stamp());
            if json {
                let line = serde_json::json!({
                    "time_ms": millis,
                    "level": record.level().as_str(),
                    "vm": vm,
                    "module": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                out.finish(format_args!(
                    "{millis} {} {vm} {}: {message}",
                    record.level(),
                    record.target()
                ));
            }
        })
        .chain(io::stderr())
        .apply()
        .map_err(|e| Error::new(Code::Kernel, format!("log: {e}")))
}
