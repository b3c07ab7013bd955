//! YAML as a tree that knows its lines, and a reader that gathers faults instead of stopping at the first.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use model::units;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_saphyr::Spanned;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line in the file, from 1.
    pub line: u64,
    /// Path of the field, such as `listen.callers`.
    pub field: String,
    /// What is wrong, for the person at the terminal.
    pub message: String,
}

/// All that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// In the order of their lines.
    pub faults: Vec<Diagnostic>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, fault) in self.faults.iter().enumerate() {
            let end = if position + 1 < self.faults.len() { "\n" } else { "" };
            write!(out, "{}:{}: {}: {}{end}", self.file, fault.line, fault.field, fault.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// A YAML value.
#[derive(Clone, Debug)]
pub(crate) enum Node {
    Null,
    Scalar(String),
    List(Vec<Spanned<Node>>),
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Node, A::Error> {
        let mut map = Vec::new();
        while let Some(entry) = entries.next_entry()? {
            map.push(entry);
        }
        Ok(Node::Map(map))
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Node, D::Error> {
        input.deserialize_any(NodeVisitor)
    }
}

/// SettingsError found so far.
#[derive(Default)]
pub(crate) struct Sink(RefCell<Vec<Diagnostic>>);

impl Sink {
    pub(crate) fn push(&self, line: u64, field: impl Into<String>, message: impl ToString) {
        self.0.borrow_mut().push(Diagnostic { line, field: field.into(), message: message.to_string() });
    }

    pub(crate) fn into_faults(self) -> Vec<Diagnostic> {
        let mut faults = self.0.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }
}

/// A mapping under a path; remembers which fields were asked for, to report the others as unknown.
pub(crate) struct Section<'a> {
    sink: &'a Sink,
    path: String,
    line: u64,
    entries: &'a [(Spanned<String>, Spanned<Node>)],
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(sink: &'a Sink, path: String, node: &'a Spanned<Node>) -> Section<'a> {
        let line = node.referenced.line();
        let entries: &[_] = match &node.value {
            Node::Map(entries) => entries,
            _ => {
                let shown = if path.is_empty() { "(file)" } else { &path };
                sink.push(line, shown, "expected fields here");
                &[]
            }
        };
        Section { sink, path, line, entries, asked: RefCell::default() }
    }

    fn full(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }

    /// Line of a field, or of the section when it is not there.
    pub(crate) fn line_of(&self, field: &str) -> u64 {
        self.find(field).map_or(self.line, |(key, _)| key.referenced.line())
    }

    fn find(&self, field: &str) -> Option<&'a (Spanned<String>, Spanned<Node>)> {
        self.entries.iter().find(|(key, _)| key.value == field)
    }

    pub(crate) fn fault(&self, field: &str, message: impl ToString) {
        self.sink.push(self.line_of(field), self.full(field), message);
    }

    fn node(&self, field: &'static str) -> Option<&'a Spanned<Node>> {
        self.asked.borrow_mut().insert(field);
        self.find(field).map(|(_, node)| node)
    }

    fn required(&self, field: &'static str) -> Option<&'a Spanned<Node>> {
        let node = self.node(field);
        if node.is_none() {
            self.fault(field, "missing");
        }
        node
    }

    /// A section that must be there.
    pub(crate) fn section(&self, field: &'static str) -> Option<Section<'a>> {
        let node = self.required(field)?;
        Some(Section::new(self.sink, self.full(field), node))
    }

    /// A section that may be left out.
    pub(crate) fn optional_section(&self, field: &'static str) -> Option<Section<'a>> {
        let node = self.node(field)?;
        Some(Section::new(self.sink, self.full(field), node))
    }

    /// The items of a list, empty when it is left out.
    pub(crate) fn list(&self, field: &'static str) -> &'a [Spanned<Node>] {
        match self.node(field).map(|node| &node.value) {
            None | Some(Node::Null) => &[],
            Some(Node::List(items)) => items,
            Some(_) => {
                self.fault(field, "expected a list");
                &[]
            }
        }
    }

    /// Sections of a list.
    pub(crate) fn sections(&self, field: &'static str) -> Vec<Section<'a>> {
        let items = self.list(field).iter().enumerate();
        items.map(|(at, node)| Section::new(self.sink, format!("{}[{at}]", self.full(field)), node)).collect()
    }

    /// Values of a list.
    pub(crate) fn values<T>(&self, field: &'static str, read: impl Fn(&str) -> Result<T, String>) -> Vec<T> {
        let mut values = Vec::new();
        for (at, node) in self.list(field).iter().enumerate() {
            let path = format!("{}[{at}]", self.full(field));
            let outcome = match &node.value {
                Node::Scalar(text) => read(text),
                _ => Err("expected a single value".to_owned()),
            };
            match outcome {
                Ok(value) => values.push(value),
                Err(message) => self.sink.push(node.referenced.line(), path, message),
            }
        }
        values
    }

    fn read<T>(
        &self,
        field: &'static str,
        node: &Spanned<Node>,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Node::Scalar(text) = &node.value else {
            self.fault(field, "expected a single value");
            return None;
        };
        match read(text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.fault(field, message);
                None
            }
        }
    }

    /// A value that must be there.
    pub(crate) fn value<T>(&self, field: &'static str, read: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let node = self.required(field)?;
        self.read(field, node, read)
    }

    /// A value that may be left out.
    pub(crate) fn value_or<T>(&self, field: &'static str, default: T, read: impl Fn(&str) -> Result<T, String>) -> T {
        let Some(node) = self.node(field) else { return default };
        self.read(field, node, read).unwrap_or(default)
    }

    /// Reports fields that nothing asked for, and fields that stand twice.
    pub(crate) fn finish(self) {
        let asked = self.asked.borrow();
        let mut seen = BTreeSet::new();
        for (key, _) in self.entries {
            let line = key.referenced.line();
            if !asked.contains(key.value.as_str()) {
                let known: Vec<&str> = asked.iter().copied().collect();
                self.sink.push(line, self.full(&key.value), format!("unknown field; known: {}", known.join(", ")));
            }
            if !seen.insert(key.value.as_str()) {
                self.sink.push(line, self.full(&key.value), "stands twice");
            }
        }
    }
}

pub(crate) fn text(value: &str) -> Result<String, String> {
    Ok(value.to_owned())
}

pub(crate) fn name(value: &str) -> Result<String, String> {
    if model::plan::is_valid_name(value) {
        return Ok(value.to_owned());
    }
    Err(format!("`{value}` is not a name: use up to 64 letters, digits, - and _"))
}

pub(crate) fn address(value: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(value).map_err(|_| format!("`{value}` is not an address by IP number, such as 10.1.2.3:8080"))
}

pub(crate) fn duration(value: &str) -> Result<Duration, String> {
    units::parse_duration(value).map_err(|fault| fault.to_string())
}

pub(crate) fn size(value: &str) -> Result<u64, String> {
    units::parse_size(value).map_err(|fault| fault.to_string())
}

pub(crate) fn number<T: FromStr>(value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("`{value}` is not a whole number in range"))
}

pub(crate) fn flag(value: &str) -> Result<bool, String> {
    value.parse().map_err(|_| format!("`{value}` is neither true nor false"))
}
