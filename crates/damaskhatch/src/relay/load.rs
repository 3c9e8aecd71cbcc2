//! Counts the work that this host has in progress at each upstream.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use damaskhatch_policy::placement::Load;
use damaskhatch_policy::prelude::*;

/// The work in progress at each upstream, shared by the threads of a host.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    loads: Arc<Mutex<HashMap<Tag, Load>>>,
}

impl Loads {
    /// A copy of the current counts; upstreams without work are absent.
    pub fn snapshot(&self) -> HashMap<Tag, Load> {
        self.lock().clone()
    }

    /// Counts work at an upstream until the returned guard is dropped.
    pub fn track(&self, upstream: Tag, load: Load) -> Guard {
        self.lock().entry(upstream).or_default().add(load);
        Guard { loads: self.clone(), upstream, load }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Tag, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes its work from the counts when it is dropped.
#[derive(Debug)]
pub struct Guard {
    loads: Loads,
    upstream: Tag,
    load: Load,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut loads = self.loads.lock();
        if let Some(load) = loads.get_mut(&self.upstream) {
            load.remove(self.load);
            if load.is_empty() {
                loads.remove(&self.upstream);
            }
        }
    }
}
