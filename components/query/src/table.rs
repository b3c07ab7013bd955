//! Tables, and which of their rows a statement asks for.

use std::cmp::Ordering;

use crate::statement::{Condition, Operator};

/// Named columns and rows of cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows, each with a cell a column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(columns: &[&str]) -> Table {
        Table { columns: columns.iter().map(|&column| column.to_owned()).collect(), rows: Vec::new() }
    }
}

/// Keeps the rows that meet all conditions, at most `limit`. A column that the table lacks is an error that
/// names those it has.
pub fn filter(mut table: Table, conditions: &[Condition], limit: Option<u64>) -> Result<Table, String> {
    for condition in conditions {
        let Some(at) = table.columns.iter().position(|column| *column == condition.field) else {
            return Err(format!("no column `{}`; there are {}", condition.field, table.columns.join(", ")));
        };
        table.rows.retain(|row| row.get(at).is_some_and(|cell| holds(cell, condition)));
    }
    if let Some(limit) = limit {
        table.rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    Ok(table)
}

fn holds(cell: &str, condition: &Condition) -> bool {
    let order = compare(cell, &condition.value);
    match condition.operator {
        Operator::Equal => order == Ordering::Equal,
        Operator::NotEqual => order != Ordering::Equal,
        Operator::Less => order == Ordering::Less,
        Operator::LessOrEqual => order != Ordering::Greater,
        Operator::Greater => order == Ordering::Greater,
        Operator::GreaterOrEqual => order != Ordering::Less,
    }
}

fn compare(cell: &str, value: &str) -> Ordering {
    match (cell.parse::<f64>(), value.parse::<f64>()) {
        (Ok(cell), Ok(value)) => cell.total_cmp(&value),
        _ => cell.cmp(value),
    }
}
