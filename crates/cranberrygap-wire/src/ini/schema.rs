//! The parts of a JSON Schema that reading an INI text needs.

use serde_json::Value;

const SETTINGS: &str = include_str!("../../../../schema/settings.json");
const CONFIGURATION: &str = include_str!("../../../../schema/configuration.json");

/// A schema file, held as it was read.
#[derive(Debug, Clone)]
pub struct Schema {
    document: Value,
}

impl Schema {
    /// The schema of the daemons' settings.
    ///
    /// # Panics
    ///
    /// When the committed schema is not JSON, which the generator rules out.
    #[must_use]
    pub fn settings() -> Self {
        Self::parse(SETTINGS)
    }

    /// The schema of the fleet's configuration.
    ///
    /// # Panics
    ///
    /// When the committed schema is not JSON, which the generator rules out.
    #[must_use]
    pub fn configuration() -> Self {
        Self::parse(CONFIGURATION)
    }

    fn parse(text: &str) -> Self {
        let document = serde_json::from_str(text).expect("the committed schema is JSON");
        Self { document }
    }

    fn definition(&self, name: &str) -> &Value {
        &self.document["definitions"][name]
    }

    /// Names of a definition's properties.
    pub fn properties(&self, definition: &str) -> impl Iterator<Item = &str> {
        let properties = self.definition(definition)["properties"].as_object();
        properties
            .into_iter()
            .flat_map(|map| map.keys().map(String::as_str))
    }

    /// The schema of one property.
    #[must_use]
    pub fn property(&self, definition: &str, name: &str) -> Option<&Value> {
        self.definition(definition)["properties"].get(name)
    }

    /// Name of the definition that a property refers to.
    #[must_use]
    pub fn reference(&self, definition: &str, name: &str) -> Option<&str> {
        let target = self.property(definition, name)?["$ref"].as_str()?;
        target.strip_prefix("#/definitions/")
    }

    /// Whether a property must be given.
    #[must_use]
    pub fn is_required(&self, definition: &str, name: &str) -> bool {
        let required = self.definition(definition)["required"].as_array();
        required.is_some_and(|names| names.iter().any(|required| required == name))
    }

    /// What a property means, in a sentence.
    #[must_use]
    pub fn description(&self, definition: &str, name: &str) -> &str {
        self.definition(definition)["properties"][name]["description"]
            .as_str()
            .unwrap_or_default()
    }

    pub(super) fn known_sections(&self, definition: &str) -> String {
        let names: Vec<String> = self
            .properties(definition)
            .map(|name| format!("[{name}]"))
            .collect();
        format!("one of the sections {}", names.join(", "))
    }
}
