//! The query and command language that operators drive walkhook with.
//!
//! The grammar stands in `statement.pest`; `docs/LANGUAGE.md` is its page for operators.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod parse;
mod statement;
mod table;

pub use parse::{ParseError, parse, parse_one};
pub use statement::{Assignment, Condition, Operator, Statement, Subject, Topic};
pub use table::{Table, filter};
