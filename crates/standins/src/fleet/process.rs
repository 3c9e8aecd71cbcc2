//! One process of a fleet.

use std::io;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use super::Plan;
use crate::proxy::{self, Handle};

/// A process of a fleet; killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its main address: HTTP, or the caller port of a host.
    pub address: SocketAddr,
    /// Where the router is told to find it.
    pub listed: SocketAddr,
    /// The proxy before it, if there is one.
    pub proxy: Option<Handle>,
    /// How it was started, to start it again.
    pub args: Vec<String>,
    child: Child,
}

impl Process {
    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends a signal by number, as `kill` does.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
        debug_assert!(sent.is_ok_and(|status| status.success()), "the process takes signals");
    }

    /// The exit code once the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a process and, if the plan wants it, a proxy before its address.
pub async fn spawn(
    plan: &Plan,
    name: &str,
    address: SocketAddr,
    args: Vec<String>,
) -> io::Result<Process> {
    let mut process = launch(plan, name, address, args)?;
    if plan.proxied {
        let any = SocketAddr::new(address.ip(), 0);
        let (listed, proxy) = proxy::tcp(any, address).await?;
        (process.listed, process.proxy) = (listed, Some(proxy));
    }
    Ok(process)
}

/// Starts a process.
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
