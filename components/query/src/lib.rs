//! The query and command language that operators drive walkhook with.
//!
//! The grammar stands in `statement.pest`; `docs/LANGUAGE.md` is its page for operators.

mod parse;
mod statement;
mod table;

pub use parse::{Fault, parse, parse_one};
pub use statement::{Assignment, Condition, Operator, Statement, Subject, Topic};
pub use table::{Table, filter};
