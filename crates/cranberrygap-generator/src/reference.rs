//! References from one schema file to a type that is defined elsewhere.
//!
//! `"$ref": "endpoint.json#/definitions/Record"` names a type of another
//! schema file, `"$ref": "model:id::Instance"` a hand-written newtype of
//! `cranberrygap-model`. Both are turned into a local placeholder definition
//! that the generator replaces by the path of the Rust type.

use serde_json::{Value, json};

const MODEL_PREFIX: &str = "model:";
const FILE_MARK: &str = ".json#/definitions/";

/// A type outside the schema file at hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reference {
    /// Name of the local definition that stands for the type.
    pub placeholder: String,
    /// Path of the Rust type.
    pub rust_path: String,
}

/// Rewrites all outside references of `document` and lists them.
pub(crate) fn localise(document: &mut Value) -> eyre::Result<Vec<Reference>> {
    let mut found = Vec::new();
    rewrite(document, &mut found)?;
    found.sort_by(|left: &Reference, right| left.placeholder.cmp(&right.placeholder));
    found.dedup();
    let definitions = document
        .get_mut("definitions")
        .and_then(Value::as_object_mut);
    let definitions = definitions.ok_or_else(|| eyre::eyre!("no \"definitions\""))?;
    for reference in &found {
        definitions.insert(reference.placeholder.clone(), json!({ "type": "object" }));
    }
    Ok(found)
}

fn rewrite(value: &mut Value, found: &mut Vec<Reference>) -> eyre::Result<()> {
    match value {
        Value::Object(map) => {
            if let Some(Value::String(target)) = map.get_mut("$ref") {
                if let Some(reference) = resolve(target) {
                    *target = format!("#/definitions/{}", reference.placeholder);
                    found.push(reference);
                } else if !target.starts_with("#/definitions/") {
                    return Err(eyre::eyre!("cannot read the reference {target}"));
                }
            }
            map.values_mut().try_for_each(|inner| rewrite(inner, found))
        }
        Value::Array(items) => items.iter_mut().try_for_each(|inner| rewrite(inner, found)),
        _ => Ok(()),
    }
}

fn resolve(target: &str) -> Option<Reference> {
    let rust_path = if let Some(path) = target.strip_prefix(MODEL_PREFIX) {
        format!("cranberrygap_model::{path}")
    } else {
        let (file, name) = target.split_once(FILE_MARK)?;
        format!("super::{file}::{name}")
    };
    let placeholder = rust_path.split("::").map(capitalised).collect();
    Some(Reference {
        placeholder,
        rust_path,
    })
}

fn capitalised(word: &str) -> String {
    let mut letters = word.chars().filter(|letter| letter.is_alphanumeric());
    let first = letters.next().map(|letter| letter.to_ascii_uppercase());
    first.into_iter().chain(letters).collect()
}
