//! The processes of a fleet and their signals.

use std::io;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use super::Plan;
use crate::proxy::{self, Handle};

/// A process of a fleet; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name, which for an upstream is also that in the sheet.
    pub name: String,
    /// The address of its HTTP interface, which for a host is the caller port.
    pub address: SocketAddr,
    /// The address that the sheet lists: that of the proxy, if there is one.
    pub listed: SocketAddr,
    /// The proxy before its address; `None` for hosts and unless [`Plan::proxied`] is set.
    pub proxy: Option<Handle>,
    /// Its command-line arguments, kept for a restart.
    pub args: Vec<String>,
    child: Child,
}

impl Process {
    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _already_ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends a signal by its name without `SIG`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
        let is_sent = sent.is_ok_and(|status| status.success());
        debug_assert!(is_sent, "signal {name} not sent to process {}", self.name);
    }

    /// The exit code; `None` while the process runs and after a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The most memory that a process has used, in MiB; `None` if the kernel does not name it.
pub fn peak_memory_mb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak: u64 = peak.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(peak / 1_024)
}

/// Starts a process and, if [`Plan::proxied`] is set, a proxy at `listed` before its address.
pub async fn launch_proxied(
    plan: &Plan,
    name: &str,
    [address, listed]: [SocketAddr; 2],
    args: Vec<String>,
) -> io::Result<Process> {
    let mut process = launch(plan, name, address, args)?;
    if plan.proxied {
        let (listed, proxy) = proxy::tcp(listed, address).await?;
        (process.listed, process.proxy) = (listed, Some(proxy));
    }
    Ok(process)
}

/// Starts a process without a proxy; it inherits standard output and error.
pub fn launch(
    plan: &Plan,
    name: &str,
    address: SocketAddr,
    args: Vec<String>,
) -> io::Result<Process> {
    let child = Command::new(&plan.program)
        .args(&args)
        .env("RUST_LOG", &plan.log_filter)
        .stdin(Stdio::null())
        .spawn()?;
    Ok(Process { name: name.to_owned(), address, listed: address, proxy: None, args, child })
}
