//! Time spent in the parts of planning passes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sched::{Clock, Engine, Part};

struct Spent {
    /// End of the previous part.
    last: Instant,
    parts: BTreeMap<Part, Duration>,
    /// Parts of the pass under way, and of the longest one apart from its questions.
    pass: BTreeMap<Part, Duration>,
    longest: BTreeMap<Part, Duration>,
}

thread_local! {
    static SPENT: RefCell<Spent> = RefCell::new(Spent {
        last: Instant::now(),
        parts: BTreeMap::new(),
        pass: BTreeMap::new(),
        longest: BTreeMap::new(),
    });
}

fn finished(part: Part) {
    SPENT.with_borrow_mut(|spent| {
        let now = Instant::now();
        *spent.parts.entry(part).or_default() += now - spent.last;
        *spent.pass.entry(part).or_default() += now - spent.last;
        spent.last = now;
    });
}

/// Runs a pass, and adds the time of each part to those that [`take`] returns.
pub fn plan(engine: &mut Engine, clock: Clock) {
    engine.set_probe(finished);
    SPENT.with_borrow_mut(|spent| spent.last = Instant::now());
    engine.plan(clock);
    SPENT.with_borrow_mut(|spent| {
        let pass = std::mem::take(&mut spent.pass);
        if without_questions(&pass) > without_questions(&spent.longest) {
            spent.longest = pass;
        }
    });
}

fn without_questions(parts: &BTreeMap<Part, Duration>) -> Duration {
    parts.iter().filter(|(part, _)| **part != Part::Questions).map(|(_, time)| *time).sum()
}

/// Forgets the times of the parts so far.
pub fn reset() {
    SPENT.with_borrow_mut(|spent| {
        spent.parts.clear();
        spent.longest.clear();
    });
}

/// Prints the mean times of the parts per pass since the last reset, and those of the longest pass apart from its
/// questions, in microseconds.
pub fn print(passes: u32) {
    SPENT.with_borrow_mut(|spent| {
        print_parts("us per pass", &spent.parts, passes);
        print_parts("us in the longest pass apart from questions", &spent.longest, 1);
    });
    reset();
}

fn print_parts(name: &str, parts: &BTreeMap<Part, Duration>, passes: u32) {
    let us = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(passes);
    let column = |part: &Part| format!("{part:?} {:.1}", us(parts.get(part).copied().unwrap_or_default()));
    let columns: Vec<String> = Part::ALL.iter().map(column).collect();
    println!("        {name}: {:.1} without questions: {}", us(without_questions(parts)), columns.join(", "));
}
