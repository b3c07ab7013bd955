//! Logs a platform call that fails repeatedly only once, and once more when it works again.

use events::emit;
use slog::Logger;

use crate::services::ServiceError;

/// Whether a call that is made repeatedly is currently failing.
pub(crate) struct Outage {
    call: &'static str,
    failing: bool,
}

impl Outage {
    /// `call` is the name of the call in the log.
    pub(crate) fn new(call: &'static str) -> Outage {
        Outage { call, failing: false }
    }

    pub(crate) fn succeeded(&mut self, log: &Logger) {
        if std::mem::take(&mut self.failing) {
            emit!(log, events::PLATFORM_RECOVERED, "call" => self.call);
        }
    }

    pub(crate) fn failed(&mut self, log: &Logger, error: &ServiceError) {
        if !std::mem::replace(&mut self.failing, true) {
            emit!(log, events::PLATFORM_FAILED, "call" => self.call, "fault" => error.to_string());
        }
    }
}
