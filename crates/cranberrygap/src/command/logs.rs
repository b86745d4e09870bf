//! What the logs of many processes say of one request.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::failure::Failure;

/// Time before and after a request's line within which lines of other processes count.
/// Their clocks may differ by some seconds.
const AROUND_MILLIS: u64 = 10_000;

/// Most lines about one thing; those nearest in time are kept.
const MOST_LINES: usize = 12;

/// Words with which a step of a trail begins that names no endpoint.
const NO_ENDPOINT: [&str; 4] = ["the", "a", "another", "it"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// File that it stands in.
    pub file: PathBuf,
    /// Unix time in milliseconds by the clock of the process.
    pub at: u64,
    /// What it says.
    pub message: SmolStr,
    /// Its fields.
    pub facts: serde_json::Map<String, serde_json::Value>,
}

/// Lines about one thing that the request met.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Topic {
    /// Name of the endpoint, or what else the lines are about.
    pub name: SmolStr,
    /// The lines, oldest first.
    pub lines: Vec<Line>,
}

/// All that the logs say of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    /// The request's id.
    pub request: SmolStr,
    /// Lines of the request itself, one for each entry that it came to.
    pub own: Vec<Line>,
    /// What became of the endpoints that it was meant for, and of the leader.
    pub topics: Vec<Topic>,
    /// Lines that were read.
    pub read: usize,
}

#[derive(Debug, Deserialize)]
struct Raw {
    #[serde(default)]
    timestamp: u64,
    payload: SmolStr,
    #[serde(default)]
    kv: serde_json::Map<String, serde_json::Value>,
}

impl Story {
    /// Reads the story of a request from log files.
    ///
    /// # Errors
    ///
    /// A file that cannot be read.
    pub fn read(request: &str, files: &[PathBuf]) -> Result<Self, Failure> {
        let mut lines = Vec::new();
        for file in files {
            lines.extend(read(file)?);
        }
        let is_own = |line: &&Line| line.fact("request") == request;
        let own: Vec<Line> = lines.iter().filter(is_own).cloned().collect();
        let mut names: Vec<SmolStr> = own.iter().flat_map(Line::endpoints).collect();
        names.sort();
        names.dedup();
        let others: Vec<&Line> = lines.iter().filter(|line| !line.is_of_request()).collect();
        let mut topics: Vec<Topic> = names
            .into_iter()
            .map(|name| {
                topic(&own, &others, &name, |line| {
                    line.message.contains(name.as_str())
                })
            })
            .collect();
        topics.push(topic(&own, &others, "the leader", Line::is_of_leader));
        Ok(Self {
            request: request.into(),
            own,
            topics,
            read: lines.len(),
        })
    }

    /// The story for people.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if self.own.is_empty() {
            let (request, read) = (&self.request, self.read);
            text.push(format!("request {request} is in none of {read} lines"));
        }
        for line in &self.own {
            text.push(line.sentence());
            let trail = line.fact("trail");
            let steps = trail.split("; ").filter(|step| !step.is_empty());
            text.extend(steps.map(|step| format!("    {step}")));
        }
        let told = self.topics.iter().filter(|topic| !topic.lines.is_empty());
        for topic in told {
            text.push(format!(
                "about {}, by each process's own clock:",
                topic.name
            ));
            text.extend(topic.lines.iter().map(|line| self.beside(line)));
        }
        text.join("\n")
    }

    /// A line with its distance from the request's own.
    fn beside(&self, line: &Line) -> String {
        let own = self.own.first().map_or(line.at, |own| own.at);
        let sign = if line.at < own { '-' } else { '+' };
        let apart = line.at.abs_diff(own) as f64 / 1_000.0;
        format!(
            "    {sign}{apart:.3} s {}: {}",
            line.file.display(),
            line.message
        )
    }
}

impl Line {
    fn fact(&self, name: &str) -> &str {
        let value = self.facts.get(name);
        value.and_then(serde_json::Value::as_str).unwrap_or("")
    }

    fn number(&self, name: &str) -> u64 {
        let value = self.facts.get(name);
        value.and_then(serde_json::Value::as_u64).unwrap_or(0)
    }

    fn is_of_request(&self) -> bool {
        self.facts.contains_key("request")
    }

    fn is_of_leader(&self) -> bool {
        let starts = |word: &str| self.message.starts_with(word);
        starts("agreement:") || starts("leader:") || self.message.contains("the leader")
    }

    /// Endpoints that the trail names.
    fn endpoints(&self) -> Vec<SmolStr> {
        let steps = self.fact("trail").split("; ");
        let named = steps.filter_map(|step| {
            let mut words = step.split_whitespace().skip(1);
            let first = words.next()?;
            let name = if first == "chooses" {
                words.next()?
            } else {
                first
            };
            let name = name.trim_end_matches([',', ':']);
            (!NO_ENDPOINT.contains(&name)).then(|| SmolStr::new(name))
        });
        named.collect()
    }

    fn sentence(&self) -> String {
        let file = self.file.display();
        let after = self.number("after_ms");
        let outcome = match (self.fact("code"), self.fact("late")) {
            ("", "") => format!("was answered after {after} ms"),
            ("", late) => format!("was answered after {after} ms; {late} was late"),
            (code, _) => {
                let cause = self.fact("cause");
                let back = self.number("retry_after_ms");
                format!("failed after {after} ms with {code} ({cause}), come back after {back} ms")
            }
        };
        let asked =
            ["route", "workspace", "model"].map(|name| format!("{name} {:?}", self.fact(name)));
        let (plan, revision) = (self.number("plan"), self.number("revision"));
        let asked = asked.join(", ");
        format!("{file}: the request {outcome}; {asked}, plan {plan}, revision {revision}")
    }
}

/// Lines about one thing near the request's own.
fn topic(own: &[Line], others: &[&Line], name: &str, about: impl Fn(&Line) -> bool) -> Topic {
    let apart = |line: &Line| {
        let distances = own.iter().map(|own| own.at.abs_diff(line.at));
        distances.min().unwrap_or(u64::MAX)
    };
    let near = others
        .iter()
        .filter(|line| about(line) && apart(line) <= AROUND_MILLIS);
    let mut lines: Vec<Line> = near.map(|line| (*line).clone()).collect();
    lines.sort_by_key(apart);
    lines.truncate(MOST_LINES);
    lines.sort_by_key(|line| line.at);
    Topic {
        name: name.into(),
        lines,
    }
}

/// The lines of a file that are in the form of our logs; others are left out, such as
/// those that whatever collects logs writes between them.
fn read(file: &Path) -> Result<Vec<Line>, Failure> {
    let text = std::fs::read(file);
    let text = text.map_err(|cause| Failure::Usage(format!("{}: {cause}", file.display())))?;
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter_map(|line| {
        // A collector may write its own words before the object.
        let object = line.get(line.find('{')?..)?;
        let raw: Raw = serde_json::from_str(object).ok()?;
        Some(Line {
            file: file.to_owned(),
            at: raw.timestamp,
            message: raw.payload,
            facts: raw.kv,
        })
    });
    Ok(lines.collect())
}
