//! One generated module from one schema file.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use eyre::WrapErr;
use schemars::schema;
use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

use crate::reference;

/// The Rust source for the schema in `path`.
pub(crate) fn generate(path: &Path) -> eyre::Result<String> {
    let text = fs::read_to_string(path)?;
    let mut document: serde_json::Value = serde_json::from_str(&text)?;
    let references = reference::localise(&mut document)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_map_type("::std::collections::BTreeMap");
    let text_traits = [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr].into_iter();
    settings.with_conversion(plain_text(), "::smol_str::SmolStr", text_traits);
    for found in &references {
        let none = std::iter::empty::<TypeSpaceImpl>();
        settings.with_replacement(&found.placeholder, &found.rust_path, none);
    }
    let mut space = TypeSpace::new(&settings);
    let root = serde_json::from_value(document).wrap_err("not a JSON Schema")?;
    space.add_root_schema(root)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(format!(
        "// Generated from {}; do not edit.\n{}",
        path.display(),
        prettyplease::unparse(&file)
    ))
}

/// The `mod.rs` that lists the generated modules.
pub(crate) fn index(names: &[String]) -> String {
    let mut text = String::from("//! Types generated from the schemas; do not edit.\n\n");
    for name in names {
        let _infallible = writeln!(text, "pub mod {name};");
    }
    text
}

fn plain_text() -> schema::SchemaObject {
    schema::SchemaObject {
        instance_type: Some(schema::InstanceType::String.into()),
        ..schema::SchemaObject::default()
    }
}
