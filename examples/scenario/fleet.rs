//! Starts and stops the real processes of one scenario on free loopback ports.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use zinnialoom::failpoint;
use zinnialoom::failpoint::Direction;
use zinnialoom::rpc::Client;
use zinnialoom::secret::Secret;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a process to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const FLEET_SECRET: &str = "scenario-fleet-secret";
const OPERATOR_SECRET: &str = "scenario-operator-secret";
const JOIN_SECRET: &str = "scenario-join-secret";

/// Kind of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    Control,
    Entry,
    Upstream,
}

/// A process of the scenario, running or not.
pub(crate) struct Process {
    pub(crate) role: Role,
    /// Address for requests to an entry VM or an upstream; RPC address of a control VM.
    pub(crate) address: SocketAddr,
    /// RPC address; the same as `address` for a control VM and for an upstream.
    pub(crate) peer: SocketAddr,
    command: Vec<String>,
    child: Option<Child>,
    /// Whether SIGTERM was sent since the process was last started.
    is_stopping: bool,
}

/// All processes of a scenario.
pub(crate) struct Fleet {
    pub(crate) folder: PathBuf,
    /// Folder with the programs to run.
    program_folder: PathBuf,
    pub(crate) processes: BTreeMap<String, Process>,
    /// Failpoints that [`Fleet::cut`] set and that are not removed yet: RPC address of the process that has
    /// the failpoint, and name of the failpoint.
    cuts: Vec<(SocketAddr, String)>,
}

impl Fleet {
    pub(crate) fn new(folder: &Path, program_folder: &Path) -> Result<Self, String> {
        for (name, secret) in [
            ("fleet", FLEET_SECRET),
            ("operator", OPERATOR_SECRET),
            ("join", JOIN_SECRET),
        ] {
            let path = folder.join(format!("{name}.secret"));
            fs::write(&path, secret).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(Self {
            folder: folder.into(),
            program_folder: program_folder.into(),
            processes: BTreeMap::new(),
            cuts: Vec::new(),
        })
    }

    /// Writes the settings of control and entry VMs, spread over failure domains, without starting them.
    /// Entry VMs let callers keep a list of addresses for `address_ttl`.
    pub(crate) fn add_vms(
        &mut self,
        control_count: u64,
        entry_count: u64,
        domain_count: u64,
        address_ttl: Duration,
    ) -> Result<(), String> {
        let mut peers = Vec::new();
        for n in 1..=control_count {
            let address = free_address()?;
            peers.push(json!({"vm": format!("control-{n}"), "address": address}));
            self.add(&format!("control-{n}"), Role::Control, address, address);
        }
        for n in 1..=entry_count {
            self.add(
                &format!("entry-{n}"),
                Role::Entry,
                free_address()?,
                free_address()?,
            );
        }
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            let number: u64 = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
            self.write_settings(
                &name,
                &format!("domain-{}", (number - 1) % domain_count + 1),
                &peers,
                address_ttl,
            )?;
        }
        Ok(())
    }

    fn add(&mut self, name: &str, role: Role, address: SocketAddr, peer: SocketAddr) {
        let process = Process {
            role,
            address,
            peer,
            command: Vec::new(),
            child: None,
            is_stopping: false,
        };
        self.processes.insert(name.into(), process);
    }

    fn write_settings(
        &mut self,
        name: &str,
        domain: &str,
        peers: &[serde_json::Value],
        address_ttl: Duration,
    ) -> Result<(), String> {
        let file = |f: &str| self.folder.join(f);
        let mut settings = json!({
            "vm": name, "domain": domain, "fleet_secret": file("fleet.secret"), "control": peers,
        });
        let process = &self.processes[name];
        let program = match process.role {
            Role::Control => {
                settings["bind"] = json!(process.address);
                settings["data"] = json!(file(name));
                settings["operator_secret"] = json!(file("operator.secret"));
                "zinnia-control"
            }
            _ => {
                settings["caller"] = json!(process.address);
                settings["peer"] = json!(process.peer);
                settings["address_ttl_ms"] = json!(address_ttl.as_millis());
                "zinnia-entry"
            }
        };
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let program = self.program_folder.join(program);
        let command = [
            program.display().to_string(),
            "--settings".into(),
            path.display().to_string(),
        ];
        self.processes.get_mut(name).unwrap().command = command.into();
        Ok(())
    }

    /// Adds the stand-in upstreams of a service, without starting them; `options` are command-line options of
    /// the stand-in.
    pub(crate) fn add_upstreams(
        &mut self,
        service: &str,
        count: u64,
        domain_count: u64,
        options: &[(String, String)],
    ) -> Result<(), String> {
        let entry_args: Vec<String> = self
            .with_role(Role::Entry)
            .flat_map(|(_, p)| ["--entry".into(), p.peer.to_string()])
            .collect();
        for n in 1..=count {
            let name = format!("{service}-{n}");
            let address = free_address()?;
            self.add(&name, Role::Upstream, address, address);
            let mut command = vec![self.program_folder.join("examples/standin").display().to_string()];
            let secret = self.folder.join("join.secret").display().to_string();
            for (flag, value) in [
                ("bind", address.to_string()),
                ("service", service.into()),
                ("name", name.clone()),
                ("domain", format!("domain-{}", (n - 1) % domain_count + 1)),
                ("secret", secret),
            ] {
                command.extend([format!("--{flag}"), value]);
            }
            for (flag, value) in options {
                command.extend([format!("--{flag}"), value.clone()]);
            }
            command.extend(entry_args.iter().cloned());
            self.processes.get_mut(&name).unwrap().command = command;
        }
        Ok(())
    }

    pub(crate) fn with_role(&self, role: Role) -> impl Iterator<Item = (&String, &Process)> {
        self.processes.iter().filter(move |(_, p)| p.role == role)
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut Process, String> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| format!("no process is named {name}"))
    }

    pub(crate) fn start(&mut self, name: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.log"));
        // A stand-in prints its request log to the standard output. The extension `journal` has nothing to do
        // with the replicated log.
        let request_log = self.folder.join(format!("{name}.journal"));
        let is_upstream = self.process_mut(name)?.role == Role::Upstream;
        let out = if is_upstream {
            open_append(&request_log)
        } else {
            open_append(&path)
        }?;
        let error = open_append(&path)?;
        let process = self.process_mut(name)?;
        if process.child.is_some() {
            return Err(format!("{name} is running"));
        }
        let mut command = Command::new(&process.command[0]);
        command.args(&process.command[1..]).stdout(out).stderr(error);
        process.child = Some(
            command
                .spawn()
                .map_err(|e| format!("{}: {e}", process.command[0]))?,
        );
        process.is_stopping = false;
        Ok(())
    }

    pub(crate) fn signal(&mut self, name: &str, signal: i32) -> Result<(), String> {
        let process = self.process_mut(name)?;
        let child = process
            .child
            .as_mut()
            .ok_or_else(|| format!("{name} is not running"))?;
        let pid = child.id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), pid]).status();
        status.map_err(|e| format!("cannot run `kill` to send signal {signal} to {name}: {e}"))?;
        if signal == signal_hook::consts::SIGKILL {
            let _ = child.wait();
            process.child = None;
        }
        process.is_stopping |= signal == signal_hook::consts::SIGTERM;
        Ok(())
    }

    /// Waits for a process to end after SIGTERM; kills it after [`STOP_TIMEOUT`].
    pub(crate) fn wait_exit(&mut self, name: &str) -> Result<(), String> {
        let process = self.process_mut(name)?;
        let Some(mut child) = process.child.take() else {
            return Ok(());
        };
        let start = Instant::now();
        while start.elapsed() < STOP_TIMEOUT {
            if let Ok(Some(status)) = child.try_wait() {
                return if status.success() {
                    Ok(())
                } else {
                    Err(format!("{name} ended with {status}"))
                };
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(format!(
            "{name} did not end within {STOP_TIMEOUT:?} after SIGTERM"
        ))
    }

    /// Deletes the data folder of a control VM that is not running.
    pub(crate) fn wipe(&mut self, name: &str) -> Result<(), String> {
        let folder = self.folder.join(name);
        if self.process_mut(name)?.child.is_some() {
            return Err(format!("{name} is running"));
        }
        fs::remove_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))
    }

    /// Starts a one-way network partition: failpoints drop the RPC requests of `from` to `to`, and the
    /// answers of `from` to requests of `to`.
    pub(crate) async fn cut(&mut self, from: &str, to: &str) -> Result<(), String> {
        let (from, to) = (self.process_mut(from)?.peer, self.process_mut(to)?.peer);
        self.set_cut(from, failpoint::cut_name(Direction::Out, to))
            .await?;
        self.set_cut(to, failpoint::cut_name(Direction::In, from)).await
    }

    /// Sets the failpoint in the process at the RPC address, which is one side of a cut.
    async fn set_cut(&mut self, at: SocketAddr, name: String) -> Result<(), String> {
        set_failpoint(at, &name, "return").await?;
        self.cuts.push((at, name));
        Ok(())
    }

    /// Ends all network partitions.
    pub(crate) async fn heal(&mut self) -> Result<(), String> {
        for (at, name) in std::mem::take(&mut self.cuts) {
            // This fails for a process that is not running; a restarted one has no failpoints set.
            let _ = set_failpoint(at, &name, "off").await;
        }
        Ok(())
    }

    /// Runs `zinnia-ctl` and returns its standard output.
    pub(crate) fn run_ctl(&self, args: &[&str]) -> Result<String, String> {
        let control: Vec<String> = self
            .with_role(Role::Control)
            .map(|(_, p)| p.address.to_string())
            .collect();
        let secret = self.folder.join("operator.secret");
        let output = Command::new(self.program_folder.join("zinnia-ctl"))
            .args(["--control", &control.join(","), "--json", "--secret"])
            .arg(secret)
            .args(args)
            .output()
            .map_err(|e| format!("zinnia-ctl: {e}"))?;
        if !output.status.success() {
            return Err(format!(
                "zinnia-ctl {args:?}: {}",
                String::from_utf8_lossy(&output.stderr).trim()
            ));
        }
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Runs the load generator against an entry VM and a stand-in, with its output to the standard output.
    pub(crate) fn bench(&self, entry: &str, upstream: &str, args: &[String]) -> Result<(), String> {
        let find = |name: &str| {
            self.processes
                .get(name)
                .ok_or_else(|| format!("no process is named {name}"))
        };
        let (entry, upstream) = (find(entry)?, find(upstream)?);
        let mut command = Command::new(self.program_folder.join("examples/bench"));
        command.args([
            "--target",
            &entry.address.to_string(),
            "--direct",
            &upstream.address.to_string(),
        ]);
        for process in [entry, upstream] {
            let pid = process.child.as_ref().map_or(0, Child::id);
            command.args(["--pid", &pid.to_string()]);
        }
        let status = command.args(args).status().map_err(|e| format!("bench: {e}"))?;
        if status.success() {
            Ok(())
        } else {
            Err(format!("bench ended with {status}"))
        }
    }

    /// Kills every process that is still running.
    pub(crate) fn kill_all(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
    }
}

async fn set_failpoint(at: SocketAddr, name: &str, actions: &str) -> Result<(), String> {
    let client = Client::new(at, Secret::new(FLEET_SECRET));
    let params = json!({"name": name, "actions": actions});
    client
        .call::<_, ()>(failpoint::SET_METHOD, &params, CALL_TIMEOUT)
        .await
        .map_err(|e| format!("cannot set failpoint {name} at {at}: {e}"))
}

fn open_append(path: &Path) -> Result<File, String> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|e| format!("{}: {e}", path.display()))
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("cannot bind a free port: {e}"))?;
    listener
        .local_addr()
        .map_err(|e| format!("cannot read the address of a bound port: {e}"))
}
