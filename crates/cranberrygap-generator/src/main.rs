//! Writes the Rust types of `schema/*.json` into `crates/cranberrygap-wire`, and
//! the page that lists every setting.
//!
//! `cargo run -p cranberrygap-generator` writes; with `--check` it compares and
//! exits 1 when what is committed is not what the schemas give.

mod module;
mod page;
mod reference;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use eyre::WrapErr;

const SCHEMA_FOLDER: &str = "schema";
const CONFIGURATION_PAGE: &str = "docs/CONFIGURATION.md";
const OUTPUT_FOLDER: &str = "crates/cranberrygap-wire/src/generated";

fn main() -> eyre::Result<ExitCode> {
    let check = std::env::args().any(|argument| argument == "--check");
    let mut stale = Vec::new();
    let mut names = Vec::new();
    for schema in schema_files()? {
        let name = file_stem(&schema)?;
        let code =
            module::generate(&schema).wrap_err_with(|| format!("in {}", schema.display()))?;
        settle(&output(&name), &code, check, &mut stale)?;
        names.push(name);
    }
    settle(&output("mod"), &module::index(&names), check, &mut stale)?;
    let page = page::generate(Path::new(SCHEMA_FOLDER))?;
    settle(Path::new(CONFIGURATION_PAGE), &page, check, &mut stale)?;
    for path in &stale {
        eprintln!(
            "{} is not what the schemas give; run cranberrygap-generator",
            path.display()
        );
    }
    Ok(if stale.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn schema_files() -> eyre::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(SCHEMA_FOLDER).wrap_err("run this from the workspace's root")? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn file_stem(path: &Path) -> eyre::Result<String> {
    let stem = path.file_stem().and_then(|stem| stem.to_str());
    stem.map(str::to_owned)
        .ok_or_else(|| eyre::eyre!("{} has no plain name", path.display()))
}

fn output(name: &str) -> PathBuf {
    Path::new(OUTPUT_FOLDER).join(format!("{name}.rs"))
}

fn settle(path: &Path, code: &str, check: bool, stale: &mut Vec<PathBuf>) -> eyre::Result<()> {
    let committed = fs::read_to_string(path).unwrap_or_default();
    if committed == code {
        return Ok(());
    }
    if check {
        stale.push(path.to_owned());
        return Ok(());
    }
    fs::write(path, code).wrap_err_with(|| format!("cannot write {}", path.display()))
}
