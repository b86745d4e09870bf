//! `cranberrygap explain`: what was decided about a thing, when and from which facts.

use std::path::PathBuf;

use clap::Args;
use cranberrygap_model::{address, id};
use cranberrygap_wire::{audit, method, trace};
use futures_util::future::BoxFuture;
use serde::Serialize;
use smol_str::SmolStr;

use super::failure::Failure;
use super::{Ask, logs, session, time, trail};

/// Tells what was decided about a request, model, workspace or endpoint, and why.
///
/// Entries keep the latest decisions only; the audit trail keeps what was
/// committed. With `--logs` the story of a request is read from the logs of any
/// number of processes, also of those that are gone.
#[derive(Debug, Args)]
pub struct Arguments {
    /// A request id; or one of request, model, workspace, endpoint with a NAME.
    #[arg(value_name = "REQUEST_ID|SUBJECT")]
    first: SmolStr,
    /// Name of the model, workspace or endpoint.
    name: Option<SmolStr>,
    /// Operators' addresses of the entries to ask.
    #[arg(long, value_delimiter = ',', value_name = "IP:PORT")]
    entry: Vec<address::Socket>,
    /// Read logs of these files in place of asking anybody; only for a request.
    #[arg(long, num_args = 1.., value_name = "FILE", conflicts_with_all = ["entry", "name"])]
    logs: Vec<PathBuf>,
    /// Most decisions of each process.
    #[arg(long, default_value_t = 50)]
    limit: u32,
}

/// One decision with the process that took it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Told {
    /// Unix time in milliseconds.
    pub at: u64,
    /// The process, or `trail` for what was committed.
    pub by: SmolStr,
    /// Stable word for programs.
    pub code: SmolStr,
    /// What was decided.
    pub sentence: SmolStr,
    /// What it rests on.
    pub facts: Vec<trace::Fact>,
}

/// All that is known.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// What was asked about.
    pub subject: trace::Subject,
    /// Its name.
    pub name: SmolStr,
    /// Decisions, oldest first.
    pub decisions: Vec<Told>,
    /// Processes that were asked and since when they know, in Unix milliseconds.
    pub known_since: Vec<Known>,
    /// Addresses that did not answer.
    pub silent: Vec<address::Socket>,
}

/// Since when a process knows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Known {
    /// The process.
    pub instance: id::Instance,
    /// Unix time in milliseconds of its oldest decision; 0 when it has none.
    pub since: u64,
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            if !self.logs.is_empty() {
                let story = logs::Story::read(&self.first, &self.logs)?;
                session.print(&story, logs::Story::text);
                return Ok(());
            }
            let ask = self.ask()?;
            let mut explanation = Explanation {
                subject: ask.subject,
                name: ask.name.clone(),
                decisions: Vec::new(),
                known_since: Vec::new(),
                silent: Vec::new(),
            };
            for address in &self.entry {
                let told = session.once(*address, method::EXPLAIN, &ask).await;
                explanation.add(*address, told.ok());
            }
            let trail = trail::read(session, 0).await?;
            explanation.add_trail(&trail, self.limit as usize);
            explanation.decisions.sort_by_key(|told| told.at);
            session.print(&explanation, text);
            Ok(())
        })
    }
}

impl Arguments {
    fn ask(&self) -> Result<trace::Ask, Failure> {
        let (subject, name) = match &self.name {
            None => (trace::Subject::Request, self.first.clone()),
            Some(name) => {
                let subject = self.first.parse().map_err(|_unknown| {
                    Failure::Usage(format!(
                        "{} is none of request, model, workspace, endpoint",
                        self.first
                    ))
                })?;
                (subject, name.clone())
            }
        };
        Ok(trace::Ask {
            limit: self.limit,
            name,
            subject,
        })
    }
}

impl Explanation {
    fn add(&mut self, address: address::Socket, told: Option<trace::Told>) {
        let Some(told) = told else {
            self.silent.push(address);
            return;
        };
        let by = SmolStr::new(told.instance.as_str());
        self.known_since.push(Known {
            instance: told.instance,
            since: told.since,
        });
        let decisions = told.decisions.into_iter().map(|decision| Told {
            at: decision.at,
            by: by.clone(),
            code: decision.code,
            sentence: decision.sentence,
            facts: decision.facts,
        });
        self.decisions.extend(decisions);
    }

    /// Adds the latest records of the trail that name the thing.
    fn add_trail(&mut self, trail: &trail::Whole, limit: usize) {
        let named = trail.records.iter().rev();
        let named = named.filter(|record| names(record, &self.name));
        let told = named.take(limit).map(|record| Told {
            at: record.at,
            by: SmolStr::new_static("trail"),
            code: record.subject.clone(),
            sentence: trail::sentence(record).into(),
            facts: Vec::new(),
        });
        self.decisions.extend(told);
    }
}

/// Whether any text in the record's detail is the name.
fn names(record: &audit::Record, name: &str) -> bool {
    let detail = serde_json::from_str(&record.detail).unwrap_or(serde_json::Value::Null);
    holds(&detail, name)
}

fn holds(value: &serde_json::Value, name: &str) -> bool {
    match value {
        serde_json::Value::String(text) => {
            text == name || text.split_whitespace().any(|word| word == name)
        }
        serde_json::Value::Array(items) => items.iter().any(|item| holds(item, name)),
        serde_json::Value::Object(fields) => fields.values().any(|field| holds(field, name)),
        _ => false,
    }
}

fn text(explanation: &Explanation) -> String {
    let mut lines: Vec<String> = explanation.decisions.iter().map(line).collect();
    if lines.is_empty() {
        let Explanation { subject, name, .. } = explanation;
        lines.push(format!("nothing is known of {subject} {name}"));
    }
    for known in &explanation.known_since {
        let since = match known.since {
            0 => "has taken no decision yet".to_owned(),
            since => format!("knows decisions since {}", time::show(since)),
        };
        lines.push(format!("{} {since}", known.instance));
    }
    if explanation.known_since.is_empty() {
        lines.push("no entry was asked; name their operators' addresses with --entry".to_owned());
    }
    for address in &explanation.silent {
        lines.push(format!("{address} did not answer"));
    }
    lines.join("\n")
}

fn line(told: &Told) -> String {
    let facts: Vec<String> = told
        .facts
        .iter()
        .map(|fact| format!("{} {}", fact.name.replace('_', " "), fact.value))
        .collect();
    let facts = match facts.as_slice() {
        [] => String::new(),
        some => format!(" ({})", some.join(", ")),
    };
    format!(
        "{} {}: {}{facts}",
        time::show(told.at),
        told.by,
        told.sentence
    )
}
