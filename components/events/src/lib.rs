//! Structured logging: numbered events, written as one JSON object per line.
//!
//! `docs/EVENTS.md` lists the same events; a test compares the two.

mod catalogue;
mod rate_limit;

use std::io::Write;

use slog::{Drain, Logger, o};

pub use catalogue::*;
#[doc(hidden)]
pub use rate_limit::admit as __admit;
pub use rate_limit::{Admission, MAX_LINES_PER_SECOND, RateLimiter};

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Details for developers.
    Debug,
    /// A regular change of state.
    Info,
    /// A condition that an operator may have to look at.
    Warning,
    /// A fault.
    Error,
}

/// A kind of log event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Identifies the event; never reused for another meaning.
    pub number: u16,
    pub level: Level,
    /// Message of each log line of this event.
    pub text: &'static str,
}

/// Lines that may be queued for the writer thread. When the queue is full, further lines are dropped and counted,
/// so that a slow reader never blocks the caller.
const QUEUE_CAPACITY: usize = 4096;

/// Creates a logger that writes events of severity `min_level` and above to `out`.
pub fn logger(out: impl Write + Send + 'static, min_level: Level, host: &str) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let queued = slog_async::Async::new(json).chan_size(QUEUE_CAPACITY).build().fuse();
    let filtered = slog::LevelFilter::new(queued, slog_level(min_level)).fuse();
    Logger::root(filtered, o!("host" => host.to_owned()))
}

/// Longest text from another writer in a log line, in characters.
const MAX_EXCERPT_CHARS: usize = 200;

/// The beginning of a text from another writer, which may be of any length.
pub fn excerpt(text: &str) -> &str {
    text.char_indices().nth(MAX_EXCERPT_CHARS).map_or(text, |(end, _)| &text[..end])
}

/// Returns a logger that discards everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn slog_level(level: Level) -> slog::Level {
    match level {
        Level::Debug => slog::Level::Debug,
        Level::Info => slog::Level::Info,
        Level::Warning => slog::Level::Warning,
        Level::Error => slog::Level::Error,
    }
}

#[doc(hidden)]
pub use slog as __slog;

/// Logs an event with its fields: `emit!(log, events::STARTED, "port" => port)`. Each event is limited to
/// [`MAX_LINES_PER_SECOND`]; lines beyond that are dropped and counted.
#[macro_export]
macro_rules! emit {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        let admission = $crate::__admit(event.number);
        if let $crate::Admission::WrittenAfter(dropped) = admission {
            $crate::__write!($log, $crate::LINES_DROPPED, "of" => event.number, "lines" => dropped);
        }
        if admission != $crate::Admission::LeftOut {
            $crate::__write!($log, event $(, $key => $value)*);
        }
    }};
}

#[doc(hidden)]
#[macro_export]
macro_rules! __write {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)*) => {{
        let event: $crate::Event = $event;
        match event.level {
            $crate::Level::Debug => $crate::__slog::debug!($log, "{}", event.text; "event" => event.number $(, $key => $value)*),
            $crate::Level::Info => $crate::__slog::info!($log, "{}", event.text; "event" => event.number $(, $key => $value)*),
            $crate::Level::Warning => $crate::__slog::warn!($log, "{}", event.text; "event" => event.number $(, $key => $value)*),
            $crate::Level::Error => $crate::__slog::error!($log, "{}", event.text; "event" => event.number $(, $key => $value)*),
        }
    }};
}
