//! The memory that a host spends on bodies. See [docs/DESIGN.md](../../../docs/DESIGN.md#memory).

use damaskhatch_exchange::memory::Budget;

/// Each budget is this part of the process's memory.
const PART: usize = 5;

/// The budgets of a host. They are apart, so that callers and upstreams cannot take each other's memory, nor
/// that of the control thread.
#[derive(Debug, Clone)]
pub struct Budgets {
    /// For the bodies of callers' requests.
    pub requests: Budget,
    /// For the bodies of upstreams' responses.
    pub responses: Budget,
    /// For the bodies of the store's responses.
    pub store: Budget,
}

impl Budgets {
    /// The budgets of a process that may use `memory_mb` MiB, or the machine's memory if that is less.
    pub fn new(memory_mb: u64) -> Self {
        let machine = rustix::system::sysinfo();
        let machine_bytes = machine.totalram as usize * machine.mem_unit as usize;
        let memory = ((memory_mb as usize) << 20).min(machine_bytes);
        let budget = || Budget::new(memory / PART);
        Self { requests: budget(), responses: budget(), store: budget() }
    }
}
