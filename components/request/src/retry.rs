//! Limits retries to a fraction of the successful requests, so that a service in trouble receives fewer requests
//! instead of more.

/// Retries earned by one successful request.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Largest number of retries that can be saved up.
const MAX_RETRIES: f64 = 20.0;

/// Number of retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget(MAX_RETRIES)
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.0 = (self.0 + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Spends one retry; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}
