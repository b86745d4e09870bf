//! `cranberrygap show`: the fleet, or an accepted configuration.

use std::fmt::Write as _;
use std::time::Duration;

use clap::Args;
use cranberrygap_model::number;
use cranberrygap_wire::{method, operator, view};
use futures_util::future::BoxFuture;

use super::failure::Failure;
use super::{Ask, force, session};

pub mod part;
pub mod table;

/// Time between two looks of `--watch`.
const WATCH_PERIOD: Duration = Duration::from_secs(1);
/// Moves the cursor home and clears a terminal.
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Shows the fleet, or an accepted configuration.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Part of the fleet.
    #[arg(value_enum, default_value = "fleet")]
    part: part::Part,
    /// Show it again each second until Ctrl-C.
    #[arg(long, conflicts_with_all = ["revision", "force"])]
    watch: bool,
    /// Show the configuration as it was accepted under this revision.
    #[arg(long, value_name = "REVISION")]
    revision: Option<number::Revision>,
    /// Show how far a revision is in force.
    #[arg(long, value_name = "REVISION", conflicts_with = "revision")]
    force: Option<number::Revision>,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            if let Some(revision) = self.force {
                return force::show(session, revision).await;
            }
            match self.revision {
                Some(revision) => show_page(session, revision).await,
                None if self.watch => watch(session, self.part).await,
                None => show_part(session, self.part).await,
            }
        })
    }
}

async fn show_page(session: &session::Session, revision: number::Revision) -> Result<(), Failure> {
    let read = operator::Read {
        revision: Some(revision),
    };
    let page: operator::Page = session.ask(method::CONFIGURATION, &read).await?;
    session.print(&page, |page| {
        format!(
            "; revision {} by {} at {} (Unix ms): {}\n{}",
            page.revision, page.author.by, page.at, page.author.why, page.text
        )
    });
    Ok(())
}

async fn show_part(session: &session::Session, wanted: part::Part) -> Result<(), Failure> {
    let state: view::State = session.ask(method::SHOW, &()).await?;
    print_part(session, wanted, &state);
    Ok(())
}

fn print_part(session: &session::Session, wanted: part::Part, state: &view::State) {
    match part::table(wanted, state) {
        Some(table) => session.print(&table, ToString::to_string),
        None => session.print(state, text),
    }
}

/// A leader that is being replaced must not end the watch: its operator wants to
/// see just that.
async fn watch(session: &session::Session, wanted: part::Part) -> Result<(), Failure> {
    loop {
        let shown = session.ask::<_, view::State>(method::SHOW, &()).await;
        if !session.is_json() {
            session::write(CLEAR);
        }
        match shown {
            Ok(state) => print_part(session, wanted, &state),
            Err(failure) => eprintln!("cranberrygap: {failure}"),
        }
        tokio::time::sleep(WATCH_PERIOD).await;
    }
}

fn text(state: &view::State) -> String {
    let mut text = String::new();
    let configuration = &state.configuration;
    line(
        &mut text,
        format_args!("configuration: revision {}", configuration.revision),
    );
    for exception in &configuration.exceptions {
        let (target, name, reason) = (&exception.target, &exception.name, &exception.reason);
        line(
            &mut text,
            format_args!("  exception {target} {name}: {reason}"),
        );
    }
    line(
        &mut text,
        format_args!("workspaces: {}", state.workspaces.len()),
    );
    for workspace in &state.workspaces {
        let keys = state.keys.iter().filter(|key| key.workspace == *workspace);
        line(
            &mut text,
            format_args!("  {workspace}: {} keys", keys.count()),
        );
    }
    line(
        &mut text,
        format_args!("models in the store: {}", state.catalogue.len()),
    );
    line(
        &mut text,
        format_args!("entries and controls: {}", state.members.len()),
    );
    for member in &state.members {
        line(&mut text, format_args!("  {}", member_line(member)));
    }
    line(
        &mut text,
        format_args!("endpoints: {}", state.endpoints.len()),
    );
    for endpoint in &state.endpoints {
        let found = &endpoint.announcement;
        let resident: Vec<&str> = found
            .resident
            .iter()
            .map(|held| held.model.as_str())
            .collect();
        line(
            &mut text,
            format_args!(
                "  {} {} {} in {} at {}: {}",
                found.endpoint,
                found.kind,
                endpoint.health,
                found.domain,
                found.address,
                resident.join(", ")
            ),
        );
    }
    for domain in &state.evacuated {
        line(&mut text, format_args!("evacuated: {domain}"));
    }
    line(
        &mut text,
        format_args!("quarantined requests: {}", state.quarantines.len()),
    );
    text
}

/// One member in a line.
#[must_use]
pub fn member_line(member: &view::Member) -> String {
    format!(
        "{} {} {} in {} at {}",
        member.instance, member.role, member.phase, member.domain, member.address
    )
}

fn line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _infallible = writeln!(text, "{arguments}");
}
