//! Runs scenario files against real processes on loopback and checks the results that callers got.
//!
//! `cargo run --release --features failpoints --example scenario -- scenarios/*.zs`

use std::path::PathBuf;
use std::process;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use async_std::net::TcpStream;
use async_std::task;
use serde_json::json;
use signal_hook::consts::SIGCONT;
use signal_hook::consts::SIGKILL;
use signal_hook::consts::SIGSTOP;
use signal_hook::consts::SIGTERM;
use tide::http::Method;
use tide::http::Request;
use tide::http::Url;

use crate::fleet::Fleet;
use crate::fleet::Role;
use crate::load::AttemptOutcome;
use crate::load::Load;
use crate::load::Plan;
use crate::script::Options;
use crate::script::Statement;

mod evaluation;
mod fleet;
mod load;
mod script;

/// Time within which the fleet must serve after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Run scenario files against real processes on loopback.
#[derive(FromArgs)]
struct Args {
    /// folder with the programs to run (default: the one above this program)
    #[argh(option, default = "default_programs()")]
    programs: PathBuf,

    /// keep the temporary folder of each scenario
    #[argh(switch)]
    keep: bool,

    /// scenario files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

fn default_programs() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    program
        .parent()
        .and_then(|p| p.parent())
        .map(Into::into)
        .unwrap_or_default()
}

fn main() {
    let args: Args = argh::from_env();
    let mut failed = 0;
    for file in &args.files {
        let start = Instant::now();
        match task::block_on(run_file(&args, file)) {
            Ok(()) => println!(
                "ok     {} in {:.1} s",
                file.display(),
                start.elapsed().as_secs_f64()
            ),
            Err(error) => {
                failed += 1;
                println!("FAILED {}: {error}", file.display());
            }
        }
    }
    println!("{} passed, {failed} failed", args.files.len() - failed);
    process::exit(i32::from(failed > 0));
}

async fn run_file(args: &Args, file: &PathBuf) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let statements = script::parse(&text)?;
    let folder = tempfile::Builder::new()
        .prefix("scenario-")
        .tempdir()
        .map_err(|e| e.to_string())?;
    let mut runner = Runner {
        fleet: Fleet::new(folder.path(), &args.programs)?,
        loads: Vec::new(),
        domains: 1,
    };
    let mut result = Ok(());
    for statement in &statements {
        if let Err(error) = runner.execute(statement).await {
            result = Err(format!("line {}: {}: {error}", statement.line, statement.text));
            break;
        }
    }
    for load in &mut runner.loads {
        load.join().await;
    }
    runner.fleet.kill_all();
    if args.keep {
        println!("files of the run are in {}", folder.keep().display());
    }
    result
}

struct Runner {
    fleet: Fleet,
    loads: Vec<Load>,
    domains: u64,
}

impl Runner {
    async fn execute(&mut self, statement: &Statement) -> Result<(), String> {
        let words: Vec<&str> = statement.words.iter().map(String::as_str).collect();
        let options = &statement.options;
        match words.as_slice() {
            ["fleet"] => self.start_fleet(options).await,
            ["service", name] => self.start_service(name, options),
            ["customer", name] => self.create_customer(name, options),
            ["route", name] => self.create_route(name, options),
            ["ready", prefix] => self.wait_ready(prefix).await,
            ["load", name] => self.start_load(name, options),
            ["wait", time] => {
                task::sleep(script::duration(time)?).await;
                Ok(())
            }
            ["join"] => {
                for load in &mut self.loads {
                    load.join().await;
                }
                Ok(())
            }
            ["freeze", name] => self.fleet.signal(name, SIGSTOP),
            ["resume", name] => self.fleet.signal(name, SIGCONT),
            ["kill", name] => self.fleet.signal(name, SIGKILL),
            ["stop", name] => self.fleet.signal(name, SIGTERM),
            ["ended", name] => self.fleet.wait_exit(name),
            ["start", name] => self.fleet.start(name),
            ["wipe", name] => self.fleet.wipe(name),
            ["cut", from, "->", to] => self.fleet.cut(from, to).await,
            ["heal"] => self.fleet.heal().await,
            ["upstream", name] => self.set_upstream(name, options).await,
            ["withdraw", name] => self.withdraw(name),
            ["operator", args @ ..] => self.fleet.run_ctl(args).map(drop),
            ["bench", entry, upstream] => self.bench(entry, upstream, options),
            ["expect", name] => self.expect(name, options).await,
            _ => Err("unknown statement".into()),
        }
    }

    async fn start_fleet(&mut self, options: &Options) -> Result<(), String> {
        self.domains = options.number("domains", 3)?.max(1);
        let address_ttl = options.duration("ttl", Duration::from_secs(1))?;
        self.fleet.add_vms(
            options.number("control", 3)?,
            options.number("entry", 3)?,
            self.domains,
            address_ttl,
        )?;
        let names: Vec<String> = self.fleet.processes.keys().cloned().collect();
        for name in &names {
            self.fleet.start(name)?;
        }
        self.retry_until_ready(|fleet| fleet.run_ctl(&["status"]).map(drop))
            .await
    }

    /// Repeats an attempt until it succeeds; returns its last error after [`READY_TIMEOUT`].
    async fn retry_until_ready(&self, attempt: impl Fn(&Fleet) -> Result<(), String>) -> Result<(), String> {
        let start = Instant::now();
        loop {
            match attempt(&self.fleet) {
                Err(error) if start.elapsed() > READY_TIMEOUT => return Err(error),
                Err(_) => task::sleep(POLL_PERIOD).await,
                Ok(()) => return Ok(()),
            }
        }
    }

    fn start_service(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let floor = options.text("floor", "0").to_owned();
        let secret = self.fleet.folder.join("join.secret").display().to_string();
        self.fleet.run_ctl(&[
            "service",
            "set",
            "--id",
            name,
            "--floor",
            &floor,
            "--join-secret",
            &secret,
        ])?;
        let count = options.number("upstreams", 2)?;
        let rest = options
            .iter()
            .filter(|(n, _)| !["floor", "upstreams"].contains(n));
        let flags: Vec<(String, String)> = rest.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
        self.fleet.add_upstreams(name, count, self.domains, &flags)?;
        for n in 1..=count {
            self.fleet.start(&format!("{name}-{n}"))?;
        }
        Ok(())
    }

    fn create_customer(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let (rate, burst) = (options.text("rate", "100"), options.text("burst", "100"));
        self.fleet
            .run_ctl(&["customer", "set", "--id", name, "--rate", rate, "--burst", burst])?;
        let answer = self.fleet.run_ctl(&["key", "issue", "--customer", name])?;
        let answer: serde_json::Value =
            serde_json::from_str(&answer).map_err(|e| format!("{e}: {answer}"))?;
        let key = answer["key"]
            .as_str()
            .ok_or_else(|| format!("no key in {answer}"))?;
        std::fs::write(self.fleet.folder.join(format!("{name}.key")), key).map_err(|e| e.to_string())
    }

    fn create_route(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let mut args = vec!["route", "set", "--id", name];
        args.extend([
            "--prefix",
            options.text("prefix", "/"),
            "--service",
            options.text("service", ""),
        ]);
        args.extend(options.has("open").then_some("--open"));
        args.extend(options.has("require-id").then_some("--require-id"));
        self.fleet.run_ctl(&args).map(drop)
    }

    fn key(&self, customer: &str) -> Option<String> {
        std::fs::read_to_string(self.fleet.folder.join(format!("{customer}.key"))).ok()
    }

    /// Waits until every entry VM answers requests under the prefix.
    async fn wait_ready(&mut self, prefix: &str) -> Result<(), String> {
        let start = Instant::now();
        let customers: Vec<String> = self.customers();
        let key = customers.first().and_then(|c| self.key(c));
        let entries: Vec<_> = self
            .fleet
            .with_role(Role::Entry)
            .map(|(_, p)| p.address)
            .collect();
        for entry in entries {
            loop {
                let plan = Plan {
                    name: "ready".into(),
                    method: Method::Get,
                    path: prefix.into(),
                    key: key.clone(),
                    rate: 1,
                    duration: Duration::from_secs(1),
                    with_id: false,
                    resend: false,
                    entries: vec![entry],
                };
                let mut probe = Load::spawn(plan);
                probe.join().await;
                if probe.summary().contains_key("answered") {
                    break;
                }
                if start.elapsed() > READY_TIMEOUT {
                    return Err(format!(
                        "{entry} answered no request within {READY_TIMEOUT:?}: {:?}",
                        probe.summary()
                    ));
                }
                task::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Customers that have a key.
    fn customers(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.fleet.folder)
            .into_iter()
            .flatten()
            .flatten();
        let names = files.filter_map(|f| f.file_name().to_str()?.strip_suffix(".key").map(str::to_owned));
        names.collect()
    }

    fn start_load(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let via = options.text("via", "");
        let all = self.fleet.with_role(Role::Entry);
        let entries: Vec<_> = all
            .filter(|(n, _)| via.is_empty() || via.split(',').any(|v| v == *n))
            .map(|(_, p)| p.address)
            .collect();
        if entries.is_empty() {
            return Err(format!("no entry VM in via={via}"));
        }
        let method: Method = options
            .text("method", "GET")
            .parse()
            .map_err(|_| "unknown method".to_string())?;
        let plan = Plan {
            name: name.into(),
            method,
            path: options.text("path", "/").into(),
            key: self.key(options.text("customer", "")),
            rate: options.number("rate", 10)?.max(1),
            duration: options.duration("for", Duration::from_secs(1))?,
            with_id: options.text("id", "no") == "yes",
            resend: options.text("resend", "yes") == "yes",
            entries,
        };
        self.loads.push(Load::spawn(plan));
        Ok(())
    }

    /// Replaces the injected faults of a stand-in; without options it has none.
    async fn set_upstream(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let process = self
            .fleet
            .processes
            .get(name)
            .ok_or_else(|| format!("no process is named {name}"))?;
        let address = process.address;
        let value = |text: &str| serde_json::from_str(text).unwrap_or_else(|_| json!(text));
        let faults: serde_json::Map<String, serde_json::Value> =
            options.iter().map(|(n, v)| (n.to_owned(), value(v))).collect();
        let url = Url::parse(&format!("http://{address}/.standin/faults")).map_err(|e| e.to_string())?;
        let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        let mut request = Request::new(Method::Post, url);
        request.insert_header("connection", "close");
        request.set_body(serde_json::Value::Object(faults).to_string());
        let response = async_h1::connect(stream, request)
            .await
            .map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("{name} rejected the faults: {}", response.status()));
        }
        Ok(())
    }

    /// Prints the latency that an entry VM adds to that of direct requests to the stand-in.
    fn bench(&mut self, entry: &str, upstream: &str, options: &Options) -> Result<(), String> {
        let key = self
            .key(options.text("customer", ""))
            .ok_or("bench needs a customer")?;
        let mut args = vec!["--key".to_owned(), key];
        for (name, value) in options.iter().filter(|(n, _)| *n != "customer") {
            args.extend([format!("--{name}"), value.to_owned()]);
        }
        self.fleet.bench(entry, upstream, &args)
    }

    /// Withdraws the key of a customer.
    fn withdraw(&mut self, customer: &str) -> Result<(), String> {
        let key = self
            .key(customer)
            .ok_or_else(|| format!("{customer} has no key"))?;
        let id = key.split('.').nth(1).unwrap_or_default().to_owned();
        let keys = self.fleet.run_ctl(&["key", "list", "--customer", customer])?;
        let keys: serde_json::Value = serde_json::from_str(&keys).map_err(|e| e.to_string())?;
        let items = keys["objects"].as_array();
        let found = items.into_iter().flatten().find(|k| k["id"] == id.as_str());
        let version = found
            .and_then(|k| k["version"].as_u64())
            .ok_or_else(|| format!("no key {id} in {keys}"))?;
        self.fleet
            .run_ctl(&["key", "withdraw", "--id", &id, "--expect", &version.to_string()])
            .map(drop)
    }

    /// Waits until a load has ended and checks that its figures do not exceed their bounds.
    async fn expect(&mut self, name: &str, options: &Options) -> Result<(), String> {
        let index = self.loads.iter().position(|l| l.plan.name == name);
        let index = index.ok_or_else(|| format!("no load is named {name}"))?;
        if options.has("code") {
            return self.expect_code(index, options).await;
        }
        self.loads[index].join().await;
        let load = &self.loads[index];
        let evaluation = evaluation::evaluate(load, &evaluation::read_request_logs(&self.fleet.folder)?);
        println!(
            "       {name}: {:?} p50 {:?} p99 {:?}",
            load.summary(),
            evaluation.p50,
            evaluation.p99
        );
        println!("       {name}: {evaluation:?}");
        for (figure, bound) in options.iter() {
            let bound: u64 = bound
                .parse()
                .map_err(|_| format!("{figure}={bound} is not a whole number"))?;
            let found = evaluation
                .figure(figure)
                .ok_or_else(|| format!("unknown figure {figure}"))?;
            if found > bound {
                return Err(format!("{figure} is {found}, at most {bound} is allowed"));
            }
        }
        Ok(())
    }

    /// Checks that all requests of a load that start after the time limit `within` end with the given code.
    async fn expect_code(&mut self, index: usize, options: &Options) -> Result<(), String> {
        let code = u16::try_from(options.number("code", 0)?).map_err(|e| e.to_string())?;
        let limit = options.duration("within", Duration::from_secs(5))?;
        let start = Instant::now();
        task::sleep(limit).await;
        // Requests that start after the limit must all end with the code; this leaves them time to end.
        task::sleep(Duration::from_secs(1)).await;
        let records = self.loads[index].records();
        let later: Vec<_> = records.iter().filter(|r| r.start > start + limit).collect();
        let others = later
            .iter()
            .filter(|r| r.attempts.last() != Some(&AttemptOutcome::NotRun(code)))
            .count();
        if later.is_empty() || others > 0 {
            return Err(format!(
                "{others} of {} requests after {limit:?} did not end with code {code}",
                later.len()
            ));
        }
        Ok(())
    }
}
