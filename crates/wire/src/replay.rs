//! Replay protection: a sliding window of received serials for each sender.

use std::collections::HashMap;

use damaskhatch_policy::prelude::Tag;

/// The size of a sender's window, in frames. A frame is rejected if its serial, which UDP and TCP
/// share, is at least this far below the highest one received.
const WINDOW_FRAMES: u64 = 4_096;
/// Frames tracked by one word of the bit set.
const WORD_BITS: u64 = u64::BITS as u64;

/// The sliding window of one incarnation of a sender.
#[derive(Debug, Clone)]
struct Window {
    incarnation: u64,
    /// The highest serial received.
    highest: u64,
    /// One bit for each serial, at the serial modulo `WINDOW_FRAMES`.
    bits: Vec<u64>,
}

impl Window {
    fn new(incarnation: u64, serial: u64) -> Self {
        let mut window = Self {
            incarnation,
            highest: serial,
            bits: vec![0; (WINDOW_FRAMES / WORD_BITS) as usize],
        };
        window.mark(serial);
        window
    }

    /// Marks a serial as received and returns whether it was not marked before.
    fn mark(&mut self, serial: u64) -> bool {
        let word = &mut self.bits[(serial % WINDOW_FRAMES / WORD_BITS) as usize];
        let bit = 1 << (serial % WORD_BITS);
        let is_new = *word & bit == 0;
        *word |= bit;
        is_new
    }

    /// Marks a serial as not received.
    fn clear(&mut self, serial: u64) {
        self.bits[(serial % WINDOW_FRAMES / WORD_BITS) as usize] &= !(1 << (serial % WORD_BITS));
    }

    /// Advances the window to `serial` if necessary, and returns whether the serial is new.
    fn accept(&mut self, serial: u64) -> bool {
        if serial + WINDOW_FRAMES <= self.highest {
            return false;
        }
        if serial > self.highest + WINDOW_FRAMES {
            self.bits.fill(0);
        } else {
            (self.highest + 1..=serial).for_each(|skipped| self.clear(skipped));
        }
        self.highest = self.highest.max(serial);
        self.mark(serial)
    }
}

/// Rejects replayed frames of every sender.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    windows: HashMap<Tag, Window>,
}

impl Filter {
    /// Records a frame and returns whether it is new.
    ///
    /// A frame of an older incarnation than the newest one received is never new.
    pub fn accept(&mut self, from: Tag, incarnation: u64, serial: u64) -> bool {
        let known = self.windows.get_mut(&from).filter(|window| window.incarnation >= incarnation);
        let Some(window) = known else {
            self.windows.insert(from, Window::new(incarnation, serial));
            return true;
        };
        window.incarnation == incarnation && window.accept(serial)
    }
}
