//! A flood of log lines doesn't block the caller, and dropped lines are counted.

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use events::{Admission, Level, MAX_LINES_PER_SECOND, RateLimiter, emit};

/// A writer that blocks until the sender of `resume` is dropped.
struct BlockedWriter {
    resume: mpsc::Receiver<()>,
    lines: mpsc::Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Returns at once when the sender has been dropped.
        let _ = self.resume.recv();
        let _ = self.lines.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Far more lines than any queue between the caller and the writer holds.
const FLOOD_LINES: u32 = 100_000;

#[test]
fn a_reader_that_stands_still_holds_nobody_up() {
    let (unblock, resume) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let log = events::logger(BlockedWriter { resume, lines }, Level::Info, "host");
    // Would never return if `emit!` waited for the writer.
    (0..FLOOD_LINES).for_each(|number| emit!(log, events::RUN_STARTED, "number" => number));
    drop(unblock);
    drop(log);
    let text: Vec<u8> = written.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("\"number\":0"), "the first lines were dropped");
    let count = text.lines().filter(|line| line.contains("start order sent")).count();
    assert!(count > 0 && count < FLOOD_LINES as usize, "{count} lines were written");
}

#[test]
fn a_kind_is_bounded_in_each_second_and_says_what_was_left_out() {
    let limiter = RateLimiter::default();
    let first = Duration::from_millis(1500);
    let written = (0..MAX_LINES_PER_SECOND + 7).filter(|_| limiter.admit(first) == Admission::Written).count();
    assert_eq!(written, MAX_LINES_PER_SECOND as usize);
    assert_eq!(limiter.admit(first), Admission::LeftOut);
    let second = Duration::from_millis(2000);
    assert_eq!(limiter.admit(second), Admission::WrittenAfter(8));
    assert_eq!(limiter.admit(second), Admission::Written);
    assert_eq!(limiter.admit(Duration::from_secs(9)), Admission::Written, "nothing was dropped since");
}
