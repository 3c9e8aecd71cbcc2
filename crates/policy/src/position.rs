//! Points in the history of the platform's store.
//!
//! The store may be restored from an older copy. What was written after the copy is lost, and the
//! revisions from then on are given out again, so a revision alone does not order two reads. Each
//! restore begins an era, and revisions are comparable only within one. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#restored-store).

/// The bits of a version that hold the revision; the era is in those above.
///
/// Versions of the first 512 eras fit the 53 bits that a JSON number keeps exactly.
const REVISION_BITS: u32 = 44;

/// The highest era in which a store may begin that has never been restored; its interface does not
/// say whether eras are counted from 0 or from 1.
const MAX_FIRST_ERA: u64 = 1;

/// An era of the store and a revision or another counter that starts again with the era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Position {
    /// The number of the era; 0 for a store that does not report one.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl Position {
    /// The largest era and revision that a version can hold.
    pub const MAX: Self =
        Self { era: u64::MAX >> REVISION_BITS, revision: (1 << REVISION_BITS) - 1 };

    /// Creates the position of a revision of an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Whether the store must have been restored before this position, as far as its era shows.
    ///
    /// In the first era that a restore leads to, only those can tell who have seen an earlier one.
    pub const fn follows_restore(self) -> bool {
        self.era > MAX_FIRST_ERA
    }

    /// Decodes a version.
    pub const fn of(version: u64) -> Self {
        Self { era: version >> REVISION_BITS, revision: version & Self::MAX.revision }
    }

    /// Encodes the position as one number, ordered by era and then by revision; `None` if it is
    /// beyond [`Self::MAX`].
    pub const fn version(self) -> Option<u64> {
        if self.era > Self::MAX.era || self.revision > Self::MAX.revision {
            return None;
        }
        Some(self.era << REVISION_BITS | self.revision)
    }
}
