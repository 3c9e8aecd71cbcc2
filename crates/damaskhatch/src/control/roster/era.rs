//! Gives up a host's slots after a restore of the store.

use super::Keeper;
use crate::prelude::*;

impl Keeper {
    /// Gives up the lease and all slots if the store was restored since the last call.
    ///
    /// A host that is cut off from the store has to give up its slots, too, before others may
    /// hold them.
    pub(super) fn enter_era(&mut self) {
        let (seen, announced) = (self.shared.era.latest(), self.shared.announced_era());
        if !self.tenure.enter_era(seen, announced) {
            return;
        }
        let era = seen.max(announced);
        log::warn!("event=slots_given_up era={era} reason=store_restored");
        (self.lease, self.confirmed) = (None, None);
        self.publish_tenure();
        self.publish_slots();
    }

    /// Enters the era of a restored store and runs the next step at once.
    pub(super) fn handle_restore(&mut self, ctx: &mut Context<Self>) {
        self.enter_era();
        if let Some(next) = self.next_step.take() {
            ctx.cancel_future(next);
            self.step(ctx);
        }
    }
}
