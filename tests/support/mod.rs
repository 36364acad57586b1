//! Daemons, certificates and a small platform for tests of the operator's side.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod node;
pub(crate) mod platform;

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use sesamewing::wire::Role;
use tempfile::TempDir;

/// A deployment's authority and one node certificate in a folder of their own.
pub(crate) struct Certificates(TempDir);

impl Certificates {
    pub(crate) fn new() -> Self {
        let dir = tempfile::tempdir().expect("folder");
        let ca_key = KeyPair::generate().expect("key");
        let mut ca = CertificateParams::new(vec![]).expect("parameters");
        ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca_cert = ca.self_signed(&ca_key).expect("certificate");
        let issuer = Issuer::new(ca, ca_key);
        let key = KeyPair::generate().expect("key");
        let node = CertificateParams::new(vec!["sesamewing".to_owned()])
            .expect("parameters")
            .signed_by(&key, &issuer)
            .expect("certificate");
        for (name, text) in [
            ("ca.pem", ca_cert.pem()),
            ("node.pem", node.pem()),
            ("node.key", key.serialize_pem()),
        ] {
            fs::write(dir.path().join(name), text).expect("written");
        }
        Self(dir)
    }

    pub(crate) fn folder(&self) -> &Path {
        self.0.path()
    }
}

/// Any free port.
pub(crate) const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Starts of a daemon; another program may take one of its ports between the choice and the start.
const STARTS: u32 = 5;

/// Returns a TCP and UDP port that was free a moment ago.
pub(crate) fn free() -> SocketAddr {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = tcp.local_addr().expect("bound");
        if UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

static COUNT: AtomicU32 = AtomicU32::new(1);

/// Writes the settings file of a new daemon; returns it and the operator address.
pub(crate) fn settings(role: Role, certs: &Certificates, platform: &str) -> (PathBuf, SocketAddr) {
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let (peer, operator, own) = (free(), free(), free());
    let own = match role {
        Role::Entry => format!("callers: {own}\n"),
        Role::Agent => format!(
            "guard: {own}\nendpoint: {{kind: engine, address: 'http://127.0.0.1:9', service: drafts}}\n\
             links: {{down: 20Mbit/s, up: 20Mbit/s, memory: 512MB}}\n"
        ),
    };
    let text = format!(
        "name: node-{n}\nregion: east\nzone: east-a\npeer: {peer}\noperator: {operator}\nplatform: {platform}\n\
         tls: {{authority: ca.pem, certificate: node.pem, key: node.key}}\n{own}"
    );
    let file = certs.folder().join(format!("node-{n}.yaml"));
    fs::write(&file, text).expect("written");
    (file, operator)
}

/// A running daemon; killed when dropped.
pub(crate) struct Daemon {
    pub(crate) name: String,
    child: Child,
    operator: SocketAddr,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon on free ports and waits for its `ready` line.
    pub(crate) fn start(role: Role, certs: &Certificates, platform: &str) -> Self {
        let program = match role {
            Role::Entry => env!("CARGO_BIN_EXE_sesamewing-entry"),
            Role::Agent => env!("CARGO_BIN_EXE_sesamewing-agent"),
        };
        Self::start_program(Path::new(program), role, certs, platform)
    }

    /// Starts a program as a daemon.
    pub(crate) fn start_program(
        program: &Path,
        role: Role,
        certs: &Certificates,
        platform: &str,
    ) -> Self {
        let mut log = String::new();
        for _ in 0..STARTS {
            let (file, operator) = settings(role, certs, platform);
            match Self::launch(program, &file, operator) {
                Ok(daemon) => return daemon,
                Err(text) if text.contains("cannot be") => log = text,
                Err(text) => panic!("{text}"),
            }
        }
        panic!("{log}");
    }

    fn launch(program: &Path, file: &Path, operator: SocketAddr) -> Result<Self, String> {
        let log = file.with_extension("log");
        let mut child = Command::new(program)
            .arg("--config")
            .arg(file)
            .stdout(Stdio::piped())
            .stderr(File::create(&log).expect("created"))
            .spawn()
            .expect("it runs");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let name = line.trim().strip_prefix("ready ").map(str::to_owned);
        let mut daemon = Self {
            name: String::new(),
            child,
            operator,
            log,
        };
        daemon.name = name.ok_or_else(|| daemon.log())?;
        Ok(daemon)
    }

    pub(crate) fn operator(&self) -> String {
        format!("http://{}", self.operator)
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("readable")
    }

    /// Sends a signal by name to this daemon.
    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(sent.expect("it runs").success());
    }

    /// Returns whether the daemon runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a state").is_none()
    }

    /// Waits for the end and returns the exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("it ended").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The daemon may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
