//! A machine of the system: the program of the deploy file, with settings from its template.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    #[link_name = "kill"]
    fn send_signal(process: i32, signal: i32) -> i32;
}

/// The loopback network of this run: `127.A.B.`, of which no address is in use.
pub fn network() -> String {
    let id = std::process::id();
    for n in 0..200_u32 {
        let (a, b) = ((id / 250 + n) % 200 + 20, (id + 7 * n) % 250 + 1);
        let net = format!("127.{a}.{b}.");
        let ports = [8360, 8361, 8365, 8367, 9464];
        let is_free = |port: &u16| TcpListener::bind(format!("{net}1:{port}")).is_ok();
        if ports.iter().all(is_free) {
            return net;
        }
    }
    panic!("no free loopback network");
}

pub struct Host {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// What the settings of a machine hold, as on the page on deploying.
pub struct Site<'a> {
    pub zones: &'a [&'a str],
    pub seeds: &'a [String],
    pub store: SocketAddr,
    pub folder: &'a str,
}

impl Host {
    pub fn new(site: &Site<'_>, name: &str, zone: &str, ip: &str) -> Self {
        let template = std::fs::read_to_string("deploy/host.ini").expect("the template");
        let text = template
            .replace("{{#zones}}{{@}}{{,}}{{/zones}}", &site.zones.join(","))
            .replace("{{node}}", name)
            .replace("{{zone}}", zone)
            .replace("{{listen.front}}", &format!("{ip}:8360"))
            .replace("{{listen.ready}}", &format!("{ip}:8365"))
            .replace("{{listen.control}}", &format!("{ip}:8367"))
            .replace("{{ip}}", ip)
            .replace("{{seeds}}", &site.seeds.join(","))
            .replace("{{provider.address}}", &site.store.to_string())
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{bounds.quota_slack}}", "120000");
        assert!(!text.contains("{{"), "a placeholder is left in the settings: {text}");
        let settings = PathBuf::from(format!("{}/{name}.ini", site.folder));
        std::fs::write(&settings, text).expect("the settings can be written");
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let log = PathBuf::from(format!("{}/{name}.log", site.folder));
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            front: at(8360),
            ready: at(8365),
            settings,
            log,
            process: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/damaskhatch-edge")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("DAMASKHATCH_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.process = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = http::connect(self.ready, Duration::from_millis(500)) else {
            return false;
        };
        let request = "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        connection.write(request.as_bytes()).is_ok()
            && connection.read_response().is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // SAFETY: it only sends a signal to a process that this one started and has not awaited.
            unsafe { send_signal(process.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| process.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// The memory that the process uses, in MiB.
    pub fn memory_mb(&self) -> f64 {
        let Some(process) = &self.process else { return 0.0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1_024.0
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
