//! Turns the text of one key into the JSON value that its schema asks for.

use std::str::FromStr;

use cranberrygap_model::{ParseError, address, duration, id, number, size, token};
use serde_json::Value;

/// The value for `text`, or the form that was expected instead.
pub(super) fn value(text: &str, property: &Value) -> Result<Value, String> {
    if let Some(target) = property["$ref"].as_str() {
        return reference(text, target);
    }
    match property["type"].as_str().unwrap_or_default() {
        "array" => list(text, &property["items"]),
        "boolean" => boolean(text),
        "integer" => integer(text, property),
        "number" => number(text, property),
        _ => plain(text, property),
    }
}

fn reference(text: &str, target: &str) -> Result<Value, String> {
    let outcome = match target {
        "model:address::Peer" => check::<address::Peer>(text),
        "model:address::Socket" => check::<address::Socket>(text),
        "model:duration::Span" => check::<duration::Span>(text),
        "model:number::Revision" => check::<number::Revision>(text),
        "model:size::Bytes" => check::<size::Bytes>(text),
        "model:token::Rate" => check::<token::Rate>(text),
        _ => check::<id::Instance>(text),
    };
    outcome.map_err(|error| error.expected.to_owned())?;
    Ok(Value::String(text.to_owned()))
}

fn check<T: FromStr<Err = ParseError>>(text: &str) -> Result<(), ParseError> {
    text.parse::<T>().map(drop)
}

fn list(text: &str, items: &Value) -> Result<Value, String> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let values: Result<Vec<Value>, String> = parts.map(|part| value(part, items)).collect();
    let values = values.map_err(|expected| format!("a list with commas, each {expected}"))?;
    if values.is_empty() {
        return Err("a list with at least one item".to_owned());
    }
    Ok(Value::Array(values))
}

fn boolean(text: &str) -> Result<Value, String> {
    text.parse()
        .map(Value::Bool)
        .map_err(|_cause| "true or false".to_owned())
}

fn integer(text: &str, property: &Value) -> Result<Value, String> {
    let expected = format!("a whole number{}", range(property));
    let read: u64 = text.parse().map_err(|_cause| expected.clone())?;
    if !inside(read as f64, property) {
        return Err(expected);
    }
    Ok(Value::from(read))
}

fn number(text: &str, property: &Value) -> Result<Value, String> {
    let expected = format!("a number{}", range(property));
    let read: f64 = text.parse().map_err(|_cause| expected.clone())?;
    if !read.is_finite() || !inside(read, property) {
        return Err(expected);
    }
    Ok(Value::from(read))
}

fn plain(text: &str, property: &Value) -> Result<Value, String> {
    if text.is_empty() {
        return Err("a text that is not empty".to_owned());
    }
    if let Some(choices) = property["enum"].as_array() {
        let known: Vec<&str> = choices.iter().filter_map(Value::as_str).collect();
        if !known.contains(&text) {
            return Err(format!("one of {}", known.join(", ")));
        }
    }
    Ok(Value::String(text.to_owned()))
}

fn inside(number: f64, property: &Value) -> bool {
    let least = property["x-minimum"].as_f64().unwrap_or(f64::MIN);
    let most = property["x-maximum"].as_f64().unwrap_or(f64::MAX);
    (least..=most).contains(&number)
}

fn range(property: &Value) -> String {
    let least = property["x-minimum"].as_f64();
    let most = property["x-maximum"].as_f64();
    match (least, most) {
        (Some(least), Some(most)) => format!(" from {least} to {most}"),
        (Some(least), None) => format!(" from {least}"),
        (None, Some(most)) => format!(" to {most}"),
        (None, None) => String::new(),
    }
}
