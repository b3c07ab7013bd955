//! Logs a call to the platform that goes on failing once, and once when it works again.

use events::emit;
use slog::Logger;

use crate::services::ServiceError;

/// Whether a call that is made again and again fails at the moment.
pub(crate) struct Outage {
    call: &'static str,
    failing: bool,
}

impl Outage {
    /// `call` is its name in the log.
    pub(crate) fn new(call: &'static str) -> Outage {
        Outage { call, failing: false }
    }

    pub(crate) fn succeeded(&mut self, log: &Logger) {
        if std::mem::take(&mut self.failing) {
            emit!(log, events::PLATFORM_BACK, "call" => self.call);
        }
    }

    pub(crate) fn failed(&mut self, log: &Logger, error: &ServiceError) {
        if !std::mem::replace(&mut self.failing, true) {
            emit!(log, events::PLATFORM_FAILED, "call" => self.call, "fault" => error.to_string());
        }
    }
}
