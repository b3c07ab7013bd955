//! Tables of query results, and the filter for their rows.

use std::cmp::Ordering;

use crate::statement::{Condition, Operator};

/// Named columns and rows of cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(columns: &[&str]) -> Table {
        Table { columns: columns.iter().map(|&column| column.to_owned()).collect(), rows: Vec::new() }
    }
}

/// Keeps the first `limit` rows that meet all conditions.
///
/// # Errors
///
/// Fails if a condition names an unknown column; the message lists the columns of the table.
pub fn filter(mut table: Table, conditions: &[Condition], limit: Option<u64>) -> Result<Table, String> {
    for condition in conditions {
        let Some(index) = table.columns.iter().position(|column| *column == condition.field) else {
            return Err(format!("unknown column `{}`; known: {}", condition.field, table.columns.join(", ")));
        };
        table.rows.retain(|row| row.get(index).is_some_and(|cell| matches(cell, condition)));
    }
    if let Some(limit) = limit {
        table.rows.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    }
    Ok(table)
}

fn matches(cell: &str, condition: &Condition) -> bool {
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
