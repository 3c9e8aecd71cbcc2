//! The signals that a service manager or an operator sends to a daemon.
//!
//! The default action of most signals ends the process. Handlers are therefore installed before
//! anything else is done, and they stay until the process has exited. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#signals).

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2};
use signal_hook::flag;
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

/// The handlers of a process that has no runtime yet.
#[derive(Debug, Clone, Default)]
pub struct Early {
    stop: Arc<AtomicBool>,
    // Nothing has been read yet that could be read again, so this is never looked at.
    other: Arc<AtomicBool>,
}

impl Early {
    /// Installs the handlers, which remain installed when this is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses a handler.
    pub fn install() -> io::Result<Self> {
        let early = Self::default();
        for signal in [SIGHUP, SIGUSR1, SIGUSR2] {
            flag::register(signal, Arc::clone(&early.other))?;
        }
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&early.stop))?;
        }
        Ok(early)
    }
}

/// The installed handlers.
#[derive(Debug)]
pub struct Signals {
    /// Set if a signal that stops the process has arrived before the runtime was there.
    stopped_early: bool,
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    user_1: Signal,
    user_2: Signal,
}

impl Signals {
    /// Installs the handlers, which remain installed when this is dropped, in place of early ones.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses a handler or the runtime has no driver for signals.
    pub fn install(early: &Early) -> io::Result<Self> {
        let mut signals = Self {
            stopped_early: false,
            hang_up: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user_1: signal(SignalKind::user_defined1())?,
            user_2: signal(SignalKind::user_defined2())?,
        };
        // One that arrives from now on is in the queue as well.
        signals.stopped_early = early.stop.load(Ordering::SeqCst);
        Ok(signals)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Event {
        if std::mem::take(&mut self.stopped_early) {
            return Event::Stop("SIGTERM or SIGINT");
        }
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop("SIGTERM"),
            _ = self.interrupt.recv() => Event::Stop("SIGINT"),
            _ = self.hang_up.recv() => Event::Reload,
            _ = self.user_1.recv() => Event::Ignored("SIGUSR1"),
            _ = self.user_2.recv() => Event::Ignored("SIGUSR2"),
        }
    }
}
