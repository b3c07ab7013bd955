//! Reads statements.

use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use thiserror::Error;

use crate::statement::{Assignment, Condition, Operator, Statement, Subject, Topic};

// The derive makes a public enum without docs.
mod grammar {
    #![allow(missing_docs)]

    #[derive(pest_derive::Parser)]
    #[grammar = "statement.pest"]
    pub struct Grammar;
}

use grammar::{Grammar, Rule};

/// A mistake, shown with its place in the statement and what was expected there.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{shown}")]
pub struct ParseError {
    /// Byte at which the mistake stands.
    pub at: usize,
    /// The text for a person.
    pub shown: String,
}

/// Reads a script: statements separated by `;`.
pub fn parse(text: &str) -> Result<Vec<Statement>, ParseError> {
    let mut pairs = Grammar::parse(Rule::script, text).map_err(fault)?;
    let Some(script) = pairs.next() else { return Ok(Vec::new()) };
    Ok(script.into_inner().filter(|pair| pair.as_rule() != Rule::EOI).map(statement).collect())
}

/// Reads exactly one statement.
pub fn parse_one(text: &str) -> Result<Statement, ParseError> {
    let mut statements = parse(text)?;
    if statements.len() != 1 {
        let shown = format!("expected one statement, found {}", statements.len());
        return Err(ParseError { at: 0, shown });
    }
    Ok(statements.remove(0))
}

fn fault(fault: pest::error::Error<Rule>) -> ParseError {
    let at = match fault.location {
        InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
    };
    let fault = fault.renamed_rules(expected);
    let shown = match &fault.variant {
        ErrorVariant::ParsingError { .. } | ErrorVariant::CustomError { .. } => fault.to_string(),
    };
    ParseError { at, shown }
}

/// What a person would call a rule of the grammar.
fn expected(rule: &Rule) -> String {
    let words = match rule {
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
        Rule::asked => "`task NAME`, `workload NAME` or `worker NAME`",
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
    words.to_owned()
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
            let asked = parts.next().and_then(|asked| asked.into_inner().next());
            Statement::Why { subject: asked.map(subject).unwrap_or(Subject::Task(String::new())) }
        }
        other => unreachable!("the grammar has no statement {other:?}"),
    }
}

fn change<'a>(parts: impl Iterator<Item = Pair<'a, Rule>>) -> Statement {
    let mut what = Subject::Workload(String::new());
    let mut set = Vec::new();
    let mut revision = None;
    for part in parts {
        match part.as_rule() {
            Rule::subject => what = part.into_inner().next().map(subject).unwrap_or(what),
            Rule::assignment => set.push(assignment(part)),
            Rule::revision => revision = Some(number(part)),
            _ => {}
        }
    }
    Statement::Change { subject: what, set, revision }
}

fn show<'a>(parts: impl Iterator<Item = Pair<'a, Rule>>) -> Statement {
    let mut topic = Topic::Tasks;
    let mut conditions = Vec::new();
    let mut limit = None;
    for part in parts {
        match part.as_rule() {
            Rule::topic => topic = named_topic(part.as_str()),
            Rule::filter => conditions = part.into_inner().map(condition).collect(),
            Rule::limit => limit = Some(number(part)),
            _ => {}
        }
    }
    Statement::Show { topic, conditions, limit }
}

fn named_topic(word: &str) -> Topic {
    match word.to_ascii_lowercase().as_str() {
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

/// The characters of a name, value or text, without their quotes.
fn text(pair: Pair<'_, Rule>) -> String {
    match pair.as_rule() {
        Rule::inner | Rule::word | Rule::path => pair.as_str().to_owned(),
        _ => first_text(pair.into_inner()),
    }
}

/// A number too large to be one is the largest: no revision or limit is that large.
fn number(pair: Pair<'_, Rule>) -> u64 {
    let digits = pair.into_inner().next();
    digits.and_then(|digits| digits.as_str().parse().ok()).unwrap_or(u64::MAX)
}
