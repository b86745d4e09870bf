//! Parses the operators' text; any mistake refuses the whole text.

use std::collections::BTreeSet;

use cranberrygap_model::number;
use cranberrygap_wire::{configuration, ini, operator};
use smol_str::SmolStr;

use super::facts::Facts;
use super::{MAX_TEXT_BYTES, validation};

const DEFAULTS: &str = "defaults";
const EXCEPTION: &str = "exception";
const EXPECTED_SECTIONS: &str =
    "[defaults] or [exception workspace NAME], [exception model NAME], [exception service NAME]";

/// Keys that each kind of exception may set, besides its reason.
const WORKSPACE_KEYS: [&str; 5] = ["rate", "burst", "weight", "max_tokens", "request_deadline"];
const MODEL_KEYS: [&str; 3] = ["copies", "max_tokens", "request_deadline"];
const SERVICE_KEYS: [&str; 4] = [
    "service_cost",
    "booking_deadline",
    "request_deadline",
    "idempotent",
];

/// Sections parsed so far, and the mistakes found in them.
#[derive(Debug, Default)]
pub(super) struct Draft {
    pub(super) defaults: Option<(ini::Table, configuration::Defaults)>,
    pub(super) exceptions: Vec<(ini::Table, configuration::Exception)>,
    pub(super) mistakes: Vec<operator::Mistake>,
}

/// Parses a configuration and validates it against what the fleet has.
///
/// # Errors
///
/// Every mistake, with line, section, key and what to write instead.
pub fn read(text: &str, facts: &Facts) -> Result<configuration::Configuration, ini::Mistakes> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ini::Mistakes(vec![text_too_large(text.len())]));
    }
    let mut draft = Draft::default();
    let mut seen = BTreeSet::new();
    for table in ini::parse(text)? {
        if !seen.insert(table.name.clone()) {
            let mistake = table.mistake("this section once only".to_owned());
            draft.mistakes.push(mistake);
            continue;
        }
        draft.add(table);
    }
    validation::check(&mut draft, facts);
    draft.finish()
}

impl Draft {
    fn add(&mut self, table: ini::Table) {
        let words: Vec<&str> = table.name.split_whitespace().collect();
        match words.as_slice() {
            [DEFAULTS] => self.add_defaults(table),
            [EXCEPTION, target, name] => match target.parse() {
                Ok(target) => {
                    let name = SmolStr::new(name);
                    self.add_exception(table, target, &name);
                }
                Err(_cause) => self.reject_section(&table),
            },
            _ => self.reject_section(&table),
        }
    }

    fn reject_section(&mut self, table: &ini::Table) {
        self.mistakes
            .push(table.mistake(EXPECTED_SECTIONS.to_owned()));
    }

    fn add_defaults(&mut self, table: ini::Table) {
        match ini::record(&table, &ini::Schema::configuration(), "Defaults") {
            Ok(defaults) => self.defaults = Some((table, defaults)),
            Err(ini::Mistakes(mistakes)) => self.mistakes.extend(mistakes),
        }
    }

    fn add_exception(&mut self, table: ini::Table, target: configuration::Target, name: &SmolStr) {
        let allowed = allowed_keys(target);
        let mut accepted = table.clone();
        accepted.entries.clear();
        for entry in &table.entries {
            if entry.key == "reason" || allowed.contains(&entry.key.as_str()) {
                accepted.entries.push(entry.clone());
                continue;
            }
            let expected = format!("one of the keys reason, {}", allowed.join(", "));
            self.mistakes.push(table.wrong(entry, expected));
        }
        for (key, value) in [("target", target.to_string()), ("name", name.to_string())] {
            accepted.entries.push(ini::Entry {
                key: key.into(),
                value: value.into(),
                line: table.line,
            });
        }
        match ini::record(&accepted, &ini::Schema::configuration(), "Exception") {
            Ok(exception) => self.exceptions.push((table, exception)),
            Err(ini::Mistakes(mistakes)) => self.mistakes.extend(mistakes),
        }
    }

    fn finish(mut self) -> Result<configuration::Configuration, ini::Mistakes> {
        if !self.mistakes.is_empty() {
            self.mistakes.sort_by_key(|mistake| mistake.line);
            return Err(ini::Mistakes(self.mistakes));
        }
        let defaults = self.defaults.map(|(_, defaults)| defaults);
        let exceptions = self.exceptions.into_iter();
        Ok(configuration::Configuration {
            revision: number::Revision(0),
            defaults: defaults.unwrap_or_default(),
            exceptions: exceptions.map(|(_, exception)| exception).collect(),
        })
    }
}

const fn allowed_keys(target: configuration::Target) -> &'static [&'static str] {
    match target {
        configuration::Target::Workspace => &WORKSPACE_KEYS,
        configuration::Target::Model => &MODEL_KEYS,
        configuration::Target::Service => &SERVICE_KEYS,
    }
}

fn text_too_large(size: usize) -> operator::Mistake {
    operator::Mistake {
        line: 0,
        section: SmolStr::default(),
        key: SmolStr::default(),
        found: format!("{size} bytes").into(),
        expected: format!("at most {MAX_TEXT_BYTES} bytes").into(),
    }
}
