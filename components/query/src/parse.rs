//! Parses statements.

use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use thiserror::Error;

use crate::statement::{Assignment, Condition, Operator, Statement, Subject, Topic};

// The derive generates a public enum without documentation.
mod grammar {
    #![allow(missing_docs)]

    #[derive(pest_derive::Parser)]
    #[grammar = "statement.pest"]
    pub struct Grammar;
}

use grammar::{Grammar, Rule};

/// A syntax error, with its position in the script and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct ParseError {
    /// Byte offset of the error.
    pub offset: usize,
    /// Message for the operator.
    pub message: String,
}

/// Parses a script: statements separated by `;`.
///
/// # Errors
///
/// Fails if `text` has a syntax error.
pub fn parse(text: &str) -> Result<Vec<Statement>, ParseError> {
    let mut pairs = Grammar::parse(Rule::script, text).map_err(to_parse_error)?;
    let Some(script) = pairs.next() else { return Ok(Vec::new()) };
    Ok(script.into_inner().filter(|pair| pair.as_rule() != Rule::EOI).map(statement).collect())
}

/// Parses exactly one statement.
///
/// # Errors
///
/// Fails if `text` has a syntax error, or if it is not exactly one statement.
pub fn parse_one(text: &str) -> Result<Statement, ParseError> {
    let mut statements = parse(text)?;
    if statements.len() != 1 {
        let message = format!("expected one statement, found {}", statements.len());
        return Err(ParseError { offset: 0, message });
    }
    Ok(statements.remove(0))
}

fn to_parse_error(error: pest::error::Error<Rule>) -> ParseError {
    let offset = match error.location {
        InputLocation::Pos(offset) | InputLocation::Span((offset, _)) => offset,
    };
    let error = error.renamed_rules(describe_rule);
    let message = match &error.variant {
        ErrorVariant::ParsingError { .. } | ErrorVariant::CustomError { .. } => error.to_string(),
    };
    ParseError { offset, message }
}

/// Describes a rule of the grammar in error messages.
fn describe_rule(rule: &Rule) -> String {
    let description = match rule {
        Rule::script | Rule::statement => "a statement",
        Rule::submit => "`submit FILE`",
        Rule::change => "`change workload|team NAME set FIELD = VALUE`",
        Rule::drain => "`drain worker NAME`",
        Rule::restore => "`restore worker NAME`",
        Rule::cancel => "`cancel workload NAME`",
        Rule::show => "`show TABLE`",
        Rule::why => "`why task|workload|worker NAME`",
        Rule::set => "`set FIELD = VALUE`",
        Rule::subject => "`workload NAME` or `team NAME`",
        Rule::workload => "`workload NAME`",
        Rule::team => "`team NAME`",
        Rule::task => "`task NAME`",
        Rule::worker => "`worker NAME`",
        Rule::why_subject => "`task NAME`, `workload NAME` or `worker NAME`",
        Rule::assignment => "`FIELD = VALUE`",
        Rule::revision => "`if revision = NUMBER`",
        Rule::filter => "`where FIELD = VALUE`",
        Rule::condition => "a condition such as `team = rail`",
        Rule::limit => "`limit NUMBER`",
        Rule::topic => "tasks, workers, workloads, teams, hosts, requests or configuration",
        Rule::operator => "one of = != < <= > >=",
        Rule::field => "a field",
        Rule::number => "a number",
        Rule::name | Rule::word => "a name",
        Rule::value => "a value",
        Rule::text | Rule::path => "a file",
        Rule::quoted | Rule::inner => "a text in quotes",
        Rule::EOI => "`;` or the end",
        Rule::WHITESPACE | Rule::COMMENT => "a space",
    };
    description.to_owned()
}

fn statement(pair: Pair<'_, Rule>) -> Statement {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner();
    match rule {
        Rule::submit => Statement::Submit { plan: first_text(parts) },
        Rule::drain => Statement::Drain { worker: first_text(parts) },
        Rule::restore => Statement::Restore { worker: first_text(parts) },
        Rule::cancel => {
            let workload = parts.next().map(text).unwrap_or_default();
            Statement::Cancel { workload, revision: parts.next().map(number) }
        }
        Rule::change => change(parts),
        Rule::show => show(parts),
        Rule::why => {
            let subject_pair = parts.next().and_then(|pair| pair.into_inner().next());
            Statement::Why { subject: subject_pair.map(subject).unwrap_or(Subject::Task(String::new())) }
        }
        other => unreachable!("the grammar has no statement {other:?}"),
    }
}

fn change<'a>(parts: impl Iterator<Item = Pair<'a, Rule>>) -> Statement {
    let mut changed = Subject::Workload(String::new());
    let mut set = Vec::new();
    let mut revision = None;
    for part in parts {
        match part.as_rule() {
            Rule::subject => changed = part.into_inner().next().map(subject).unwrap_or(changed),
            Rule::assignment => set.push(assignment(part)),
            Rule::revision => revision = Some(number(part)),
            _ => {}
        }
    }
    Statement::Change { subject: changed, set, revision }
}

fn show<'a>(parts: impl Iterator<Item = Pair<'a, Rule>>) -> Statement {
    let mut topic = Topic::Tasks;
    let mut conditions = Vec::new();
    let mut limit = None;
    for part in parts {
        match part.as_rule() {
            Rule::topic => topic = topic_from_keyword(part.as_str()),
            Rule::filter => conditions = part.into_inner().map(condition).collect(),
            Rule::limit => limit = Some(number(part)),
            _ => {}
        }
    }
    Statement::Show { topic, conditions, limit }
}

fn topic_from_keyword(keyword: &str) -> Topic {
    match keyword.to_ascii_lowercase().as_str() {
        "workers" => Topic::Workers,
        "workloads" => Topic::Workloads,
        "teams" => Topic::Teams,
        "hosts" => Topic::Hosts,
        "requests" => Topic::Requests,
        "configuration" => Topic::Configuration,
        _ => Topic::Tasks,
    }
}

fn subject(pair: Pair<'_, Rule>) -> Subject {
    let rule = pair.as_rule();
    let name = first_text(pair.into_inner());
    match rule {
        Rule::team => Subject::Team(name),
        Rule::task => Subject::Task(name),
        Rule::worker => Subject::Worker(name),
        _ => Subject::Workload(name),
    }
}

fn assignment(pair: Pair<'_, Rule>) -> Assignment {
    let mut parts = pair.into_inner();
    let field = parts.next().map(|part| part.as_str().to_owned()).unwrap_or_default();
    Assignment { field, value: first_text(parts) }
}

fn condition(pair: Pair<'_, Rule>) -> Condition {
    let mut parts = pair.into_inner();
    let field = parts.next().map(|part| part.as_str().to_owned()).unwrap_or_default();
    let operator = match parts.next().map(|part| part.as_str()) {
        Some("!=") => Operator::NotEqual,
        Some("<") => Operator::Less,
        Some("<=") => Operator::LessOrEqual,
        Some(">") => Operator::Greater,
        Some(">=") => Operator::GreaterOrEqual,
        _ => Operator::Equal,
    };
    Condition { field, operator, value: first_text(parts) }
}

fn first_text<'a>(mut parts: impl Iterator<Item = Pair<'a, Rule>>) -> String {
    parts.next().map(text).unwrap_or_default()
}

/// Returns a name, value or text without its quotes.
fn text(pair: Pair<'_, Rule>) -> String {
    match pair.as_rule() {
        Rule::inner | Rule::word | Rule::path => pair.as_str().to_owned(),
        _ => first_text(pair.into_inner()),
    }
}

/// Parses a number. One that does not fit becomes the largest `u64`, which no revision or limit reaches.
fn number(pair: Pair<'_, Rule>) -> u64 {
    let digits = pair.into_inner().next();
    digits.and_then(|digits| digits.as_str().parse().ok()).unwrap_or(u64::MAX)
}
