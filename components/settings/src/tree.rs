//! A YAML tree with line numbers, and a reader that collects errors instead of stopping at the first.

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

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line in the file, starting at 1.
    pub line: u64,
    /// Path of the field, such as `listen.callers`.
    pub field: String,
    /// Message for the operator.
    pub message: String,
}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Sorted by line.
    pub diagnostics: Vec<Diagnostic>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            let end = if index + 1 < self.diagnostics.len() { "\n" } else { "" };
            write!(out, "{}:{}: {}: {}{end}", self.file, diagnostic.line, diagnostic.field, diagnostic.message)?;
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

/// Errors found so far.
#[derive(Default)]
pub(crate) struct Diagnostics(RefCell<Vec<Diagnostic>>);

impl Diagnostics {
    pub(crate) fn push(&self, line: u64, field: impl Into<String>, message: impl ToString) {
        self.0.borrow_mut().push(Diagnostic { line, field: field.into(), message: message.to_string() });
    }

    pub(crate) fn into_sorted(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.0.into_inner();
        diagnostics.sort();
        diagnostics.dedup();
        diagnostics
    }
}

/// A mapping in the file. Records which fields are read, so that the others can be reported as unknown.
pub(crate) struct Section<'a> {
    diagnostics: &'a Diagnostics,
    path: String,
    line: u64,
    entries: &'a [(Spanned<String>, Spanned<Node>)],
    known: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(diagnostics: &'a Diagnostics, path: String, node: &'a Spanned<Node>) -> Section<'a> {
        let line = node.referenced.line();
        let entries: &[_] = match &node.value {
            Node::Map(entries) => entries,
            _ => {
                let shown = if path.is_empty() { "(file)" } else { &path };
                diagnostics.push(line, shown, "expected a mapping");
                &[]
            }
        };
        Section { diagnostics, path, line, entries, known: RefCell::default() }
    }

    fn full_path(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }

    /// Line of a field, or of the section if the field is missing.
    pub(crate) fn line_of(&self, field: &str) -> u64 {
        self.find(field).map_or(self.line, |(key, _)| key.referenced.line())
    }

    fn find(&self, field: &str) -> Option<&'a (Spanned<String>, Spanned<Node>)> {
        self.entries.iter().find(|(key, _)| key.value == field)
    }

    pub(crate) fn error(&self, field: &str, message: impl ToString) {
        self.diagnostics.push(self.line_of(field), self.full_path(field), message);
    }

    fn node(&self, field: &'static str) -> Option<&'a Spanned<Node>> {
        self.known.borrow_mut().insert(field);
        self.find(field).map(|(_, node)| node)
    }

    fn required(&self, field: &'static str) -> Option<&'a Spanned<Node>> {
        let node = self.node(field);
        if node.is_none() {
            self.error(field, "missing");
        }
        node
    }

    /// Reads a required section.
    pub(crate) fn section(&self, field: &'static str) -> Option<Section<'a>> {
        let node = self.required(field)?;
        Some(Section::new(self.diagnostics, self.full_path(field), node))
    }

    /// Reads an optional section.
    pub(crate) fn optional_section(&self, field: &'static str) -> Option<Section<'a>> {
        let node = self.node(field)?;
        Some(Section::new(self.diagnostics, self.full_path(field), node))
    }

    /// Reads the items of an optional list.
    pub(crate) fn list(&self, field: &'static str) -> &'a [Spanned<Node>] {
        match self.node(field).map(|node| &node.value) {
            None | Some(Node::Null) => &[],
            Some(Node::List(items)) => items,
            Some(_) => {
                self.error(field, "expected a list");
                &[]
            }
        }
    }

    /// Reads an optional list of sections.
    pub(crate) fn sections(&self, field: &'static str) -> Vec<Section<'a>> {
        let items = self.list(field).iter().enumerate();
        items
            .map(|(index, node)| Section::new(self.diagnostics, format!("{}[{index}]", self.full_path(field)), node))
            .collect()
    }

    /// Reads an optional list of values.
    pub(crate) fn values<T>(&self, field: &'static str, parse: impl Fn(&str) -> Result<T, String>) -> Vec<T> {
        let mut values = Vec::new();
        for (index, node) in self.list(field).iter().enumerate() {
            let path = format!("{}[{index}]", self.full_path(field));
            let result = match &node.value {
                Node::Scalar(text) => parse(text),
                _ => Err("expected a single value".to_owned()),
            };
            match result {
                Ok(value) => values.push(value),
                Err(message) => self.diagnostics.push(node.referenced.line(), path, message),
            }
        }
        values
    }

    fn parse_scalar<T>(
        &self,
        field: &'static str,
        node: &Spanned<Node>,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let Node::Scalar(text) = &node.value else {
            self.error(field, "expected a single value");
            return None;
        };
        match parse(text) {
            Ok(value) => Some(value),
            Err(message) => {
                self.error(field, message);
                None
            }
        }
    }

    /// Reads a required value.
    pub(crate) fn value<T>(&self, field: &'static str, parse: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let node = self.required(field)?;
        self.parse_scalar(field, node, parse)
    }

    /// Reads an optional value.
    pub(crate) fn value_or<T>(&self, field: &'static str, default: T, parse: impl Fn(&str) -> Result<T, String>) -> T {
        let Some(node) = self.node(field) else { return default };
        self.parse_scalar(field, node, parse).unwrap_or(default)
    }

    /// Reports unknown and duplicate fields.
    pub(crate) fn finish(self) {
        let known_fields = self.known.borrow();
        let mut seen = BTreeSet::new();
        for (key, _) in self.entries {
            let line = key.referenced.line();
            if !known_fields.contains(key.value.as_str()) {
                let known: Vec<&str> = known_fields.iter().copied().collect();
                self.diagnostics.push(
                    line,
                    self.full_path(&key.value),
                    format!("unknown field; known: {}", known.join(", ")),
                );
            }
            if !seen.insert(key.value.as_str()) {
                self.diagnostics.push(line, self.full_path(&key.value), "duplicate field");
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
    SocketAddr::from_str(value)
        .map_err(|_| format!("`{value}` is not an IP address with a port, such as 10.1.2.3:8080"))
}

pub(crate) fn duration(value: &str) -> Result<Duration, String> {
    units::parse_duration(value).map_err(|error| error.to_string())
}

pub(crate) fn size(value: &str) -> Result<u64, String> {
    units::parse_size(value).map_err(|error| error.to_string())
}

pub(crate) fn number<T: FromStr>(value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("`{value}` is not a whole number in range"))
}

pub(crate) fn flag(value: &str) -> Result<bool, String> {
    value.parse().map_err(|_| format!("`{value}` is neither true nor false"))
}
