//! Reads INI texts into the generated types and reports every mistake at once.

mod form;
mod schema;
mod table;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

pub use schema::Schema;
pub use table::{Entry, Table, parse};

use crate::operator;

/// All mistakes of one text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{}", listing(.0))]
pub struct Mistakes(pub Vec<operator::Mistake>);

fn listing(mistakes: &[operator::Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(sentence).collect();
    lines.join("\n")
}

/// One mistake as a line for people: place, what was found, what to write.
#[must_use]
pub fn sentence(mistake: &operator::Mistake) -> String {
    let operator::Mistake {
        line,
        section,
        key,
        found,
        expected,
    } = mistake;
    let place = if key.is_empty() {
        format!("[{section}]")
    } else {
        format!("[{section}] {key}")
    };
    format!("line {line}: {place}: found \"{found}\"; write {expected}")
}

/// Reads a whole text whose sections are the properties of `definition`.
///
/// # Errors
///
/// Every mistake in the text, with line, section, key and the expected form.
pub fn document<T: DeserializeOwned>(
    text: &str,
    schema: &Schema,
    definition: &str,
) -> Result<T, Mistakes> {
    let tables = table::parse(text)?;
    let mut mistakes = Vec::new();
    let mut whole = Map::new();
    for table in &tables {
        let Some(section) = schema.reference(definition, &table.name) else {
            mistakes.push(table.mistake(schema.known_sections(definition)));
            continue;
        };
        if whole.contains_key(table.name.as_str()) {
            mistakes.push(table.mistake("this section once only".to_owned()));
            continue;
        }
        match object(table, schema, section) {
            Ok(object) => drop(whole.insert(table.name.to_string(), Value::Object(object))),
            Err(Mistakes(found)) => mistakes.extend(found),
        }
    }
    complete(schema, definition, &tables, &mut whole, &mut mistakes);
    if !mistakes.is_empty() {
        return Err(Mistakes(mistakes));
    }
    typed(Value::Object(whole), definition)
}

/// Reads one section whose keys are the properties of `definition`.
///
/// # Errors
///
/// Every mistake in the section.
pub fn record<T: DeserializeOwned>(
    table: &Table,
    schema: &Schema,
    definition: &str,
) -> Result<T, Mistakes> {
    typed(
        Value::Object(object(table, schema, definition)?),
        definition,
    )
}

/// Adds sections that were left out: empty ones where all keys have defaults,
/// mistakes where keys are required.
fn complete(
    schema: &Schema,
    definition: &str,
    tables: &[Table],
    whole: &mut Map<String, Value>,
    mistakes: &mut Vec<operator::Mistake>,
) {
    for name in schema.properties(definition) {
        if tables.iter().any(|table| table.name == name) {
            continue;
        }
        if schema.is_required(definition, name) {
            let empty = Table::empty(name);
            mistakes.push(empty.mistake("this section, which is missing".to_owned()));
        } else {
            whole.insert(name.to_owned(), Value::Object(Map::new()));
        }
    }
}

fn object(
    table: &Table,
    schema: &Schema,
    definition: &str,
) -> Result<Map<String, Value>, Mistakes> {
    let mut mistakes = Vec::new();
    let mut object = Map::new();
    for entry in &table.entries {
        let Some(property) = schema.property(definition, &entry.key) else {
            let known: Vec<&str> = schema.properties(definition).collect();
            mistakes.push(table.wrong(entry, format!("one of the keys {}", known.join(", "))));
            continue;
        };
        if object.contains_key(entry.key.as_str()) {
            mistakes.push(table.wrong(entry, "this key once only".to_owned()));
            continue;
        }
        match form::value(&entry.value, property) {
            Ok(value) => drop(object.insert(entry.key.to_string(), value)),
            Err(expected) => mistakes.push(table.wrong(entry, expected)),
        }
    }
    for name in schema.properties(definition) {
        if schema.is_required(definition, name) && table.get(name).is_none() {
            mistakes.push(table.missing(name, schema.description(definition, name)));
        }
    }
    if mistakes.is_empty() {
        Ok(object)
    } else {
        Err(Mistakes(mistakes))
    }
}

fn typed<T: DeserializeOwned>(value: Value, definition: &str) -> Result<T, Mistakes> {
    serde_json::from_value(value).map_err(|cause| {
        Mistakes(vec![operator::Mistake {
            line: 0,
            section: definition.into(),
            key: "".into(),
            found: "".into(),
            expected: cause.to_string().into(),
        }])
    })
}
