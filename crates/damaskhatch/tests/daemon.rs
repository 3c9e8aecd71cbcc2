//! Guards against daemons of the own interface that end by themselves because of a signal or a port.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// How long a daemon may take to log a line.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon whose platform is away.
struct Daemon {
    process: Child,
    lines: Receiver<String>,
}

impl Daemon {
    fn start(settings: &Path) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_damaskhatchd"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let output = BufReader::new(process.stdout.take().expect("standard output is piped"));
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self { process, lines }
    }

    fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.process.id().cast_signed()).expect("a process id");
        kill_process(id, signal).expect("the process exists");
    }

    /// Waits for a line with this text.
    fn wait_logged(&self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line = self
                .lines
                .recv_timeout(LOG_TIMEOUT)
                .unwrap_or_else(|error| panic!("no line with {text}: {error}; last line: {line}"));
        }
    }

    /// Waits until the process has exited, and returns its exit code; `None` if a signal ended it.
    fn wait_exit(&mut self) -> Option<i32> {
        self.process.wait().expect("the process can be waited for").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _killed = self.process.kill();
        let _status = self.process.wait();
    }
}

/// Four listeners at a loopback address that only test number `number` of this process uses, so that
/// no other connection gets their ports once they are closed.
fn listen(number: u8) -> [TcpListener; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, 90 + number, high, low.max(1));
    [0; 4].map(|any| TcpListener::bind((address, any)).expect("a free port"))
}

fn addresses(listeners: &[TcpListener; 4]) -> [SocketAddr; 4] {
    listeners.each_ref().map(|listener| listener.local_addr().expect("a bound address"))
}

fn settings_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("damaskhatchd-{name}-{}.ini", std::process::id()))
}

fn settings_text([caller, operator, peer, platform]: [SocketAddr; 4]) -> String {
    format!(
        "[host]\nname = a-1\ndomain = a\ncaller = {caller}\noperator = {operator}\npeer = {peer}\n\
         secret = 0123456789abcdef\n[platform]\naddress = {platform}\n[limits]\nnotice_ms = 100\n"
    )
}

/// Guards against the end of a daemon by a signal before it has read its settings, or while it stops.
#[test]
fn a_daemon_survives_signals_from_its_start_to_its_stop() {
    let path = settings_path("signals");
    let made = Command::new("mkfifo").arg(&path).status().expect("mkfifo runs");
    assert!(made.success(), "{} is made", path.display());
    let mut daemon = Daemon::start(&path);
    // Returns once the daemon waits for its settings.
    let mut settings = File::options().write(true).open(&path).expect("the settings are opened");
    daemon.signal(Signal::HUP);
    daemon.signal(Signal::USR1);
    std::thread::sleep(Duration::from_millis(100));
    settings.write_all(settings_text(addresses(&listen(0))).as_bytes()).expect("written");
    drop(settings);
    std::fs::remove_file(&path).expect("the settings are removed");
    daemon.wait_logged("event=started");
    // The settings are gone.
    daemon.wait_logged("event=reload result=bad");
    daemon.signal(Signal::TERM);
    daemon.wait_logged("event=draining");
    daemon.signal(Signal::HUP);
    daemon.signal(Signal::USR2);
    daemon.signal(Signal::TERM);
    daemon.wait_logged("event=stopped");
    assert_eq!(daemon.wait_exit(), Some(0));
}

/// Guards against a daemon that ends because a port is in use.
#[test]
fn a_daemon_waits_for_ports_that_are_in_use() {
    let path = settings_path("ports");
    let held = listen(1);
    std::fs::write(&path, settings_text(addresses(&held))).expect("the settings are written");
    let [caller, operator, peer, platform] = held;
    drop((peer, platform));
    let mut daemon = Daemon::start(&path);
    daemon.wait_logged("event=port_in_use port=operator");
    daemon.wait_logged("event=port_in_use port=caller");
    drop(caller);
    daemon.wait_logged("event=started");
    drop(operator);
    daemon.wait_logged("event=port_bound port=operator");
    daemon.signal(Signal::INT);
    daemon.wait_logged("event=stopped");
    assert_eq!(daemon.wait_exit(), Some(0));
    std::fs::remove_file(&path).expect("the settings are removed");
}
