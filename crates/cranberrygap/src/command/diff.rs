//! `cranberrygap diff`: compares two accepted configurations.

use clap::Args;
use cranberrygap_model::number;
use cranberrygap_wire::{method, operator};
use futures_util::future::BoxFuture;
use serde::Serialize;

use super::failure::Failure;
use super::{Ask, session};

/// Compares two accepted configurations.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The older revision.
    from: number::Revision,
    /// The newer revision; the one in force when left out.
    to: Option<number::Revision>,
}

/// One line of a comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", content = "line", rename_all = "snake_case")]
pub enum Line {
    /// In both texts.
    Same(String),
    /// In the older text only.
    Removed(String),
    /// In the newer text only.
    Added(String),
}

impl Ask for Arguments {
    fn run<'a>(&'a self, session: &'a session::Session) -> BoxFuture<'a, Result<(), Failure>> {
        Box::pin(async {
            let from = page(session, Some(self.from)).await?;
            let to = page(session, self.to).await?;
            let lines = compare(&from.text, &to.text);
            session.print(&lines, |lines| {
                let head = format!(
                    "--- revision {}\n+++ revision {}\n",
                    from.revision, to.revision
                );
                head + &lines.iter().map(print).collect::<String>()
            });
            Ok(())
        })
    }
}

async fn page(
    session: &session::Session,
    revision: Option<number::Revision>,
) -> Result<operator::Page, Failure> {
    session
        .ask(method::CONFIGURATION, &operator::Read { revision })
        .await
}

fn print(line: &Line) -> String {
    match line {
        Line::Same(line) => format!(" {line}\n"),
        Line::Removed(line) => format!("-{line}\n"),
        Line::Added(line) => format!("+{line}\n"),
    }
}

/// Compares two texts line by line by their longest common subsequence.
#[must_use]
pub fn compare(from: &str, to: &str) -> Vec<Line> {
    let from: Vec<&str> = from.lines().collect();
    let to: Vec<&str> = to.lines().collect();
    let common = common_lengths(&from, &to);
    let (mut old, mut new) = (0, 0);
    let mut lines = Vec::new();
    while old < from.len() || new < to.len() {
        if old < from.len() && new < to.len() && from[old] == to[new] {
            lines.push(Line::Same(from[old].to_owned()));
            old += 1;
            new += 1;
        } else if new == to.len()
            || (old < from.len() && common[old + 1][new] >= common[old][new + 1])
        {
            lines.push(Line::Removed(from[old].to_owned()));
            old += 1;
        } else {
            lines.push(Line::Added(to[new].to_owned()));
            new += 1;
        }
    }
    lines
}

/// Length of the longest common subsequence of both rests, from each position.
fn common_lengths(from: &[&str], to: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; to.len() + 1]; from.len() + 1];
    for old in (0..from.len()).rev() {
        for new in (0..to.len()).rev() {
            common[old][new] = if from[old] == to[new] {
                common[old + 1][new + 1] + 1
            } else {
                common[old + 1][new].max(common[old][new + 1])
            };
        }
    }
    common
}
