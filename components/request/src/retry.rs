//! How often requests may be sent again: a share of those that succeeded, so that a service in trouble gets
//! fewer requests, not more.

/// Retries earned by one success.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const MOST: f64 = 20.0;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Budget(MOST)
    }
}

impl Budget {
    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.0 = (self.0 + EARNED).min(MOST);
    }

    /// Takes one retry; false when none is left.
    pub fn take(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}
