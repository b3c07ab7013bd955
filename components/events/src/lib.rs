//! Structured logs: numbered events, one JSON object a line on standard output.
//!
//! The catalogue here is the one in `docs/EVENTS.md`; a test holds both together.

mod catalogue;
mod gate;

use std::io::Write;

use slog::{Drain, Logger, o};

pub use catalogue::*;
#[doc(hidden)]
pub use gate::admit as __admit;
pub use gate::{Admission, Gate, LINES_A_SECOND};

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// For developers.
    Debug,
    /// A change of state.
    Info,
    /// Something to look at.
    Warning,
    /// Something is broken.
    Error,
}

/// A kind of log line.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Its number; never reused for another meaning.
    pub number: u16,
    /// Its severity.
    pub level: Level,
    /// What happened, in words.
    pub text: &'static str,
}

/// Lines that may wait for the writer; more are dropped and counted, rather than holding up the work.
const QUEUE: usize = 4096;

/// Creates a logger that writes events of at least `least` severity to `out`.
pub fn logger(out: impl Write + Send + 'static, least: Level, host: &str) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let queued = slog_async::Async::new(json).chan_size(QUEUE).build().fuse();
    let filtered = slog::LevelFilter::new(queued, slog_level(least)).fuse();
    Logger::root(filtered, o!("host" => host.to_owned()))
}

/// A logger that writes nothing.
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

/// Writes an event with its fields: `emit!(log, events::STARTED, "port" => port)`. Beyond a bound a second and kind, lines
/// are left out and counted.
#[macro_export]
macro_rules! emit {
    ($log:expr, $event:expr $(, $key:literal => $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        let admission = $crate::__admit(event.number);
        if let $crate::Admission::WrittenAfter(left_out) = admission {
            $crate::__write!($log, $crate::LINES_LEFT_OUT, "of" => event.number, "lines" => left_out);
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
