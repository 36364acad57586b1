//! Processes of the deploy file's commands, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::http::{get, wait_until};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// Memory of a machine, as the settings say.
pub const MEMORY_MB: u64 = 260;

/// Networks and ports of a case; the process id keeps those of two cases apart.
pub fn addr(host: u8, port: u16) -> SocketAddr {
    let [_, _, a, b] = (std::process::id() % 16_000).to_be_bytes();
    SocketAddr::from(([127, 64 + a, b, host], port))
}

pub const CALLERS_PORT: u16 = 8005;
const READY_PORT: u16 = 8002;
const CONTROL_PORT: u16 = 8000;
const DIRECTORY_PORT: u16 = 8009;

/// An entry as a process.
pub struct Entry {
    pub name: String,
    pub host: u8,
    zone: &'static str,
    program: PathBuf,
    folder: PathBuf,
    child: Child,
}

/// Settings that the cases vary.
#[derive(Clone, Copy)]
pub struct Settings<'a> {
    pub store: SocketAddr,
    pub seeds: &'a [u8],
    pub bootstrap: bool,
}

fn region(zone: &str) -> &'static str {
    match zone {
        "cph-a" => "dk-east",
        "aar-a" => "dk-west",
        _ => "dk-funen",
    }
}

fn settings_text(name: &str, host: u8, zone: &str, s: Settings) -> String {
    let seeds: Vec<_> = s.seeds.iter().map(|h| format!("\"{}\"", addr(*h, CONTROL_PORT))).collect();
    format!(
        r#"node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","registry","control"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7700,7715]
seed_nodes = [{seeds}]
bootstrap = {bootstrap}
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[zones]
cph-a = "dk-east"
aar-a = "dk-west"
ode-a = "dk-funen"
[listen]
frontend = "{frontend}"
readiness = "{readiness}"
control_plane = "{control}"
directory_addr = "{directory}"
[limits]
cpu_quota = 0.25
cpu_speedup = 1
memory_mb = {memory}
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
partition_bound_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 106
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
version_ms = 8000
version_all_ms = 0
ttl_max_s = 5
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
"#,
        memory = MEMORY_MB,
        ip = addr(host, 0).ip(),
        region = region(zone),
        seeds = seeds.join(","),
        bootstrap = s.bootstrap,
        frontend = addr(host, CALLERS_PORT),
        readiness = addr(host, READY_PORT),
        control = addr(host, CONTROL_PORT),
        directory = addr(host, DIRECTORY_PORT),
        store = s.store,
    )
}

fn spawn(program: &Path, folder: &Path, name: &str, role: &str) -> Child {
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
    let log = log.expect("a log can be written");
    let errors = log.try_clone().expect("a log can be shared");
    Command::new(program)
        .arg(role)
        .env_clear()
        .env("SESAMEWING_SETTINGS", folder.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file starts")
}

/// An agent as a process.
pub struct Agent(Child);

impl Agent {
    /// Starts the agent of the model runner at `app`, on the runner's host.
    pub fn start(program: &Path, folder: &Path, app: SocketAddr, service: &str, zone: &str, s: Settings) -> Self {
        let host = match app.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        };
        let name = format!("side-{zone}-{host}");
        let text = settings_text(&name, host, zone, s);
        let (head, rest) = text.split_once("[listen]").unwrap_or_default();
        let (_, rest) = rest.split_once("[limits]").unwrap_or_default();
        let head = head.replace("role = \"entry\"", "role = \"agent\"").replace("\"edge\"", "\"side\"");
        let head = head.replace("[zones]", &format!("app = \"{app}\"\nservice = \"{service}\"\n[zones]"));
        let rest = rest.replace("bandwidth_mbps = 1000.0", "bandwidth_mbps = 7.6");
        let rest = rest.replace(&format!("memory_mb = {MEMORY_MB}"), "memory_mb = 128");
        let text = format!("{head}[listen]\n[limits]{rest}");
        fs::write(folder.join(format!("{name}.toml")), text).expect("settings can be written");
        Self(spawn(program, folder, &name, "agent"))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Entry {
    /// Starts an entry; `program` is the one of the deploy file.
    pub fn start(program: &Path, folder: &Path, host: u8, zone: &'static str, s: Settings) -> Self {
        let name = format!("edge-{zone}-{host}");
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings_text(&name, host, zone, s)).expect("settings can be written");
        let child = spawn(program, folder, &name, "entry");
        Self {
            name,
            host,
            zone,
            program: program.to_owned(),
            folder: folder.to_owned(),
            child,
        }
    }

    /// Replaces the settings file as a whole.
    pub fn change_settings(&self, s: Settings) {
        let text = settings_text(&self.name, self.host, self.zone, s);
        let (new, file) = ("new.toml", format!("{}.toml", self.name));
        fs::write(self.folder.join(new), text).expect("settings can be written");
        fs::rename(self.folder.join(new), self.folder.join(file)).expect("settings can be replaced");
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn callers(&self) -> SocketAddr {
        addr(self.host, CALLERS_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let ready = addr(self.host, READY_PORT);
        get(ready, "/sesamewing/readyz", Duration::from_secs(1)).0 == 200
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process in MiB.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let size = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        size.unwrap_or(0) / 1024
    }

    /// Starts the process again after its end, with the settings in effect.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.program, &self.folder, &self.name, "entry");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all entries are ready; returns whether they are.
pub fn wait_ready(entries: &[Entry]) -> bool {
    wait_until(Duration::from_secs(15), || entries.iter().all(Entry::is_ready))
}
