//! Work that this host has under way at each upstream, counted while it lasts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use damaskhatch_policy::placement::Load;
use damaskhatch_policy::prelude::*;

/// Counts of work under way, shared by the threads of a host.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    loads: Arc<Mutex<HashMap<Tag, Load>>>,
}

impl Loads {
    /// The counts as of now.
    pub fn snapshot(&self) -> HashMap<Tag, Load> {
        self.lock().clone()
    }

    /// Counts work at an upstream until the returned value is dropped.
    pub fn enter(&self, upstream: Tag, load: Load) -> Entered {
        self.lock().entry(upstream).or_default().add(load);
        Entered { loads: self.clone(), upstream, load }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Tag, Load>> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Work that counts until this is dropped.
#[derive(Debug)]
pub struct Entered {
    loads: Loads,
    upstream: Tag,
    load: Load,
}

impl Drop for Entered {
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
