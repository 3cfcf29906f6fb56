//! Command line of the operator tool.

use std::path::PathBuf;

use argh::FromArgs;

use crate::command::Command;

/// Options that may come before or after the subcommand, and whether the option takes a value.
const GLOBAL_OPTIONS: [(&str, bool); 7] = [
    ("--control", true),
    ("--secret", true),
    ("--change-id", true),
    ("--wait-limit", true),
    ("--limit", true),
    ("--json", false),
    ("--wait", false),
];

/// Shows and changes the configuration of a fleet.
#[derive(FromArgs)]
#[argh(
    example = "export ZINNIA_CONTROL=10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000\n\
        export ZINNIA_SECRET=/etc/zinnia/operator.secret\n\
        {command_name} service set --id forecast --floor 60\n\
        {command_name} route set --id forecast --prefix /forecast --service forecast\n\
        {command_name} customer set --id ministry --rate 200 --burst 400\n\
        {command_name} key issue --customer ministry --id ministry-1\n\
        {command_name} key withdraw --id ministry-1 --expect 4 --wait",
    note = "Each change has a change id, which is printed before it is sent. If the answer is lost, \
        send the same command with --change-id ID: it is applied once at most and gives the first answer.",
    error_code(1, "refused; the message has the numbered result code"),
    error_code(2, "the command line, a parameter or the secret file is not valid"),
    error_code(3, "a file cannot be read"),
    error_code(
        5,
        "no answer: the change may have been applied; send it again with its change id"
    ),
    error_code(6, "durable, but not in force on the needed VMs in time"),
    error_code(7, "conflict: the object has another version than expected")
)]
pub struct Flags {
    /// addresses of control VMs, separated by commas [ZINNIA_CONTROL]
    #[argh(option)]
    pub control: Option<String>,
    /// file with the operator secret [ZINNIA_SECRET]
    #[argh(option)]
    pub secret: Option<PathBuf>,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// wait until a change is in force on all registered VMs
    #[argh(switch)]
    pub wait: bool,
    /// longest wait of --wait and of the command wait, in seconds (30)
    #[argh(option, default = "30")]
    pub wait_limit: u64,
    /// longest time in which a control VM must answer, in seconds (15)
    #[argh(option, long = "limit", default = "15")]
    pub call_limit: u64,
    /// change id of an earlier command that is sent again
    #[argh(option)]
    pub change_id: Option<String>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// Moves the global options before the subcommand, where argh expects them.
pub fn move_globals_first(args: &[String]) -> Vec<&str> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter().map(String::as_str);
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or(arg);
        let Some((_, takes_value)) = GLOBAL_OPTIONS.iter().find(|(g, _)| *g == name) else {
            rest.push(arg);
            continue;
        };
        match arg.split_once('=') {
            Some((name, value)) => globals.extend([name, value]),
            None => globals.push(arg),
        }
        if *takes_value && !arg.contains('=') {
            globals.extend(args.next());
        }
    }
    globals.extend(rest);
    globals
}
