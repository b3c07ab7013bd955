//! How often requests may be sent again: a share of those that succeeded, so that a service in trouble gets
//! fewer requests, not more.

/// Retries earned by one success.
const EARNED: f64 = 0.1;
/// Retries that can be saved up.
const MOST: f64 = 20.0;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget(MOST)
    }
}

impl RetryBudget {
    /// Notes a success.
    pub fn record_success(&mut self) {
        self.0 = (self.0 + EARNED).min(MOST);
    }

    /// Takes one retry; false when none is left.
    pub fn try_take(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}
