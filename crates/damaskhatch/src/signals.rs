//! The signals that a service manager or an operator sends to a daemon.
//!
//! The default action of most signals ends the process. Handlers are therefore installed before
//! anything else is done, and they stay until the process has exited. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#signals).

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// To stop gracefully, by the signal of this name.
    Stop(&'static str),
    /// To read the settings again.
    Reload,
    /// Nothing; the signal of this name has no meaning here.
    Ignored(&'static str),
}

/// The installed handlers.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    user_1: Signal,
    user_2: Signal,
}

impl Signals {
    /// Installs the handlers, which remain installed when this is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses a handler or the runtime has none of its own for signals.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            hang_up: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user_1: signal(SignalKind::user_defined1())?,
            user_2: signal(SignalKind::user_defined2())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop("SIGTERM"),
            _ = self.interrupt.recv() => Event::Stop("SIGINT"),
            _ = self.hang_up.recv() => Event::Reload,
            _ = self.user_1.recv() => Event::Ignored("SIGUSR1"),
            _ = self.user_2.recv() => Event::Ignored("SIGUSR2"),
        }
    }
}
