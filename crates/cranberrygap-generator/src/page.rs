//! The page that lists every setting, written from the schemas.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use serde_json::Value;

/// One part of the page.
struct Part {
    title: &'static str,
    intro: &'static str,
    schema: &'static str,
    definition: &'static str,
    /// Whether the definition's properties are sections, each with keys.
    has_sections: bool,
}

const INTRO: &str = "# Configuration

This page is written from `schema/settings.json` and `schema/configuration.json`
by `cargo run -p cranberrygap-generator`; `.ci/run` checks that it is current.

Forms: a time is `250ms`, `3s`, `10m` or `24h`; a size is `512MiB` or `24GiB`; a
rate is `5000/s` (tokens a second); an address is an IP number and a port; a peer
is `name@address`; lists have commas between their items.
";

const PARTS: [Part; 4] = [
    Part {
        title: "The fleet: `[defaults]`",
        intro: "Applied with `cranberrygap apply`. Every key may be left out.",
        schema: "configuration",
        definition: "Defaults",
        has_sections: false,
    },
    Part {
        title: "The fleet: `[exception workspace|model|service NAME]`",
        intro: "The section's title gives target and name; `reason` must be given, and at \
                least one other key.",
        schema: "configuration",
        definition: "Exception",
        has_sections: false,
    },
    Part {
        title: "`cranberrygap-entry --settings FILE`",
        intro: "`--check` reads the file, reports every mistake and exits 2 if there is one.",
        schema: "settings",
        definition: "Entry",
        has_sections: true,
    },
    Part {
        title: "`cranberrygap-control --settings FILE`",
        intro: "`--check` reads the file, reports every mistake and exits 2 if there is one.",
        schema: "settings",
        definition: "Control",
        has_sections: true,
    },
];

/// Keys of the schema that a section's title stands for.
const IN_TITLE: [&str; 2] = ["name", "target"];

/// The whole page.
pub(crate) fn generate(schema_folder: &Path) -> eyre::Result<String> {
    let mut page = INTRO.to_owned();
    for part in &PARTS {
        let path = schema_folder.join(format!("{}.json", part.schema));
        let document: Value = serde_json::from_str(&fs::read_to_string(path)?)?;
        write!(page, "\n## {}\n\n{}\n", part.title, part.intro)?;
        if part.has_sections {
            sections(&mut page, &document, part.definition)?;
        } else {
            table(&mut page, &document, part.definition)?;
        }
    }
    Ok(page)
}

fn sections(page: &mut String, document: &Value, definition: &str) -> eyre::Result<()> {
    let properties = document["definitions"][definition]["properties"].as_object();
    for (section, property) in properties.into_iter().flatten() {
        let target = property["$ref"].as_str().unwrap_or_default();
        let target = target.trim_start_matches("#/definitions/");
        write!(page, "\n### `[{section}]`\n")?;
        table(page, document, target)?;
    }
    Ok(())
}

fn table(page: &mut String, document: &Value, definition: &str) -> eyre::Result<()> {
    let schema = &document["definitions"][definition];
    let required = schema["required"].as_array().cloned().unwrap_or_default();
    page.push_str("\n| key | form | default | range | meaning |\n|---|---|---|---|---|\n");
    for (key, property) in schema["properties"].as_object().into_iter().flatten() {
        if IN_TITLE.contains(&key.as_str()) {
            continue;
        }
        let must = required.iter().any(|name| name == key);
        writeln!(
            page,
            "| `{key}` | {} | {} | {} | {} |",
            form(property),
            default(property, must),
            range(property),
            meaning(document, key, property),
        )?;
    }
    Ok(())
}

/// What a key means; an exception's key without a text means the same as the default's.
fn meaning<'page>(document: &'page Value, key: &str, property: &'page Value) -> &'page str {
    let inherited = &document["definitions"]["Defaults"]["properties"][key]["description"];
    let own = property["description"].as_str();
    own.or_else(|| inherited.as_str()).unwrap_or_default()
}

fn form(property: &Value) -> String {
    if let Some(target) = property["$ref"].as_str() {
        return referred(target).to_owned();
    }
    if let Some(choices) = property["enum"].as_array() {
        let choices: Vec<&str> = choices.iter().filter_map(Value::as_str).collect();
        return choices.join(", ");
    }
    match property["type"].as_str().unwrap_or_default() {
        "array" => format!("list of: {}", form(&property["items"])),
        "boolean" => "true, false".to_owned(),
        "integer" => "whole number".to_owned(),
        "number" => "number".to_owned(),
        _ => "text".to_owned(),
    }
}

fn referred(target: &str) -> &'static str {
    match target.rsplit("::").next().unwrap_or_default() {
        "Span" => "time",
        "Bytes" => "size",
        "Rate" => "rate",
        "Socket" => "address",
        "Peer" => "peer",
        _ => "name",
    }
}

fn default(property: &Value, must: bool) -> String {
    match &property["default"] {
        Value::Null if must => "must be given".to_owned(),
        Value::Null => "none".to_owned(),
        Value::String(text) => format!("`{text}`"),
        other => format!("`{other}`"),
    }
}

fn range(property: &Value) -> String {
    match (&property["x-minimum"], &property["x-maximum"]) {
        (Value::Null, Value::Null) => String::new(),
        (least, Value::Null) => format!("from {least}"),
        (Value::Null, most) => format!("to {most}"),
        (least, most) => format!("{least} to {most}"),
    }
}
