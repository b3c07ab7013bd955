//! A flood of lines holds nobody up, and what is left out is counted.

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use events::{Admission, Gate, LINES_A_SECOND, Level, emit};

/// A reader that stands still until it is let go.
struct Stuck {
    go: mpsc::Receiver<()>,
    lines: mpsc::Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // Once its other end is gone, nothing holds it any more.
        let _ = self.go.recv();
        let _ = self.lines.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines of the flood: far more than wait in any queue.
const FLOOD: u32 = 100_000;

#[test]
fn a_reader_that_stands_still_holds_nobody_up() {
    let (let_go, go) = mpsc::channel();
    let (lines, written) = mpsc::channel();
    let log = events::logger(Stuck { go, lines }, Level::Info, "host");
    // Would never end if a line waited for the reader.
    (0..FLOOD).for_each(|number| emit!(log, events::RUN_STARTED, "number" => number));
    drop(let_go);
    drop(log);
    let text: Vec<u8> = written.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("\"number\":0"), "the first lines were kept");
    let count = text.lines().filter(|line| line.contains("start ordered")).count();
    assert!(count > 0 && count < FLOOD as usize, "{count} lines were written");
}

#[test]
fn a_kind_is_bounded_in_each_second_and_says_what_was_left_out() {
    let gate = Gate::default();
    let first = Duration::from_millis(1500);
    let written = (0..LINES_A_SECOND + 7).filter(|_| gate.admit(first) == Admission::Written).count();
    assert_eq!(written, LINES_A_SECOND as usize);
    assert_eq!(gate.admit(first), Admission::LeftOut);
    let second = Duration::from_millis(2000);
    assert_eq!(gate.admit(second), Admission::WrittenAfter(8));
    assert_eq!(gate.admit(second), Admission::Written);
    assert_eq!(gate.admit(Duration::from_secs(9)), Admission::Written, "nothing was left out since");
}
