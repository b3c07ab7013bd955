//! Parser of the query and command language for operators, and the filter for the tables that it queries.
//!
//! The grammar is in `statement.pest`; `docs/LANGUAGE.md` documents it for operators.

mod parse;
mod statement;
mod table;

pub use parse::{ParseError, parse, parse_one};
pub use statement::{Assignment, Condition, Operator, Statement, Subject, Topic};
pub use table::{Table, filter};
