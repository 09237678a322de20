//! Token bucket that first attempts fill and retries empty.

/// Tokens are counted in thousandths, so that shares add up without rounding drift.
const TOKEN: u64 = 1_000;

/// Retries as a share of first attempts.
#[derive(Debug)]
pub(super) struct Budget {
    share: u64,
    room: u64,
    tokens: u64,
}

impl Budget {
    /// Creates a full bucket of `burst` tokens that earns `share` of one per attempt.
    pub(super) fn new(share: f64, burst: u32) -> Self {
        let room = u64::from(burst) * TOKEN;
        Self {
            share: (share.clamp(0.0, 1.0) * TOKEN as f64) as u64,
            room,
            tokens: room,
        }
    }

    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.room);
    }

    /// Takes one token; `false` if there is none.
    pub(super) fn spend(&mut self) -> bool {
        match self.tokens.checked_sub(TOKEN) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }
}
