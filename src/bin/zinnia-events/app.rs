//! Command line of `zinnia-events`: reads, filters and prints events.

use std::fs;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use zinnialoom::cli;
use zinnialoom::clock;
use zinnialoom::code::Code;
use zinnialoom::error::Error;
use zinnialoom::error::Result;
use zinnialoom::event::Event;
use zinnialoom::event::Filter;
use zinnialoom::event::READ_METHOD;
use zinnialoom::event::ReadAnswer;
use zinnialoom::event::ReadRequest;
use zinnialoom::rpc::Client;
use zinnialoom::secret::Secret;
use zinnialoom::timeline;

/// Timeout of one call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Merge the events of processes and files into one time line.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --process 127.0.0.1:7001,127.0.0.1:8002 --secret fleet.secret",
    error_code(0, "the time line was printed"),
    error_code(1, "a process could not be read; the events of the others were printed"),
    error_code(2, "wrong arguments, or an unreadable secret file"),
    error_code(3, "a file could not be read or written"),
    error_code(4, "a file holds a line that is not an event")
)]
struct Args {
    /// addresses of processes (control addresses and peer addresses of entry VMs), separated by commas
    #[argh(option, default = "String::new()")]
    process: String,

    /// file with the fleet secret
    #[argh(option)]
    secret: Option<PathBuf>,

    /// file with events as JSON lines, as `--json` prints them; may be repeated
    #[argh(option)]
    file: Vec<PathBuf>,

    /// only events of this request id
    #[argh(option, default = "String::new()")]
    request: String,

    /// only events of this customer
    #[argh(option, default = "String::new()")]
    customer: String,

    /// only events of this upstream
    #[argh(option, default = "String::new()")]
    upstream: String,

    /// only events at or after this time, in milliseconds since 1970
    #[argh(option, default = "0")]
    since: u64,

    /// explain why this request was refused or failed
    #[argh(option)]
    why_request: Option<String>,

    /// explain what happened to this upstream
    #[argh(option)]
    why_upstream: Option<String>,

    /// print JSON lines
    #[argh(switch)]
    json: bool,
}

/// Runs the program and returns its exit code.
pub fn run() -> i32 {
    cli::run("zinnia-events", execute)
}

async fn execute(args: Args) -> Result<()> {
    let mut events = Vec::new();
    for path in &args.file {
        events.extend(read_file(path)?);
    }
    let failures = read_processes(&args, &mut events).await?;
    let filter = filter(&args);
    events.retain(|e| filter.matches(e));
    let events = timeline::merge(events);
    let selected: Vec<&Event> = match (&args.why_request, &args.why_upstream) {
        (Some(id), _) => timeline::explain_request(&events, id),
        (None, Some(id)) => timeline::explain_upstream(&events, id),
        (None, None) => events.iter().collect(),
    };
    print(&selected, args.json)?;
    for failure in &failures {
        eprintln!("zinnia-events: {failure}");
    }
    failures.into_iter().next().map_or(Ok(()), Err)
}

fn filter(args: &Args) -> Filter {
    Filter {
        request: args.request.as_str().into(),
        customer: args.customer.as_str().into(),
        upstream: args.upstream.as_str().into(),
        since_ms: args.since,
    }
}

fn read_file(path: &PathBuf) -> Result<Vec<Event>> {
    let text = fs::read_to_string(path).map_err(|e| Error::io(path.display(), &e))?;
    let parse = |(n, line): (usize, &str)| {
        serde_json::from_str(line)
            .map_err(|e| Error::new(Code::Corrupt, format!("{} line {}: {e}", path.display(), n + 1)))
    };
    text.lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
        .map(parse)
        .collect()
}

async fn read_processes(args: &Args, events: &mut Vec<Event>) -> Result<Vec<Error>> {
    let addresses: Vec<&str> = args.process.split(',').filter(|a| !a.is_empty()).collect();
    if addresses.is_empty() {
        return Ok(Vec::new());
    }
    let path = args
        .secret
        .as_ref()
        .ok_or_else(|| Error::new(Code::BadParams, "--process needs --secret"))?;
    let secret = Secret::open(path)?;
    let mut failures = Vec::new();
    for address in addresses {
        let parsed: SocketAddr = address
            .parse()
            .map_err(|_| Error::new(Code::BadParams, format!("--process: {address} is not IP:PORT")))?;
        let client = Client::new(parsed, secret.clone());
        if let Err(error) = read_process(&client, events).await {
            failures.push(error);
        }
    }
    Ok(failures)
}

async fn read_process(client: &Client, events: &mut Vec<Event>) -> Result<()> {
    let mut request = ReadRequest::default();
    loop {
        let answer: ReadAnswer = client.call(READ_METHOD, &request, CALL_TIMEOUT).await?;
        if answer.events.is_empty() {
            return Ok(());
        }
        request.after = answer.last;
        events.extend(answer.events);
    }
}

fn print(events: &[&Event], json: bool) -> Result<()> {
    let start = events.first().map_or(0, |e| clock::millis(e.stamp));
    let mut out = std::io::stdout().lock();
    for event in events {
        let line = if json {
            serde_json::to_string(event).map_err(|e| Error::new(Code::Io, e.to_string()))?
        } else {
            timeline::format_line(event, start)
        };
        writeln!(out, "{line}").map_err(|e| Error::io("standard output", &e))?;
    }
    Ok(())
}
