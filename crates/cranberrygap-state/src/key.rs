//! Keys of callers; only keyed hashes of the secrets are kept.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{operator, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;

/// Keys that are taken. Bounds the view of every entry.
const MOST_KEYS: usize = 65_536;

/// Workspaces that are taken; each is in the view of every entry.
const MOST_WORKSPACES: usize = 4_096;

/// Separates these hashes from every other use of BLAKE3.
const CONTEXT: &str = "cranberrygap 2026-12 caller key";

/// Bytes of random numbers in a secret; the first few make the public id.
pub const RANDOM_BYTES: usize = 32;

/// Random bytes that become the public id.
const ID_LENGTH: usize = 8;

/// A caller's secret as it is drawn: `cg-<id>.<secret part>`.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    key: id::Key,
    text: String,
}

/// The keys that work, and the workspaces that exist.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    keys: BTreeMap<id::Key, view::Key>,
    workspaces: BTreeSet<id::Workspace>,
}

/// A change of the keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// A key works from now on.
    Issue(operator::Issue),
    /// A key works no longer.
    Withdraw(operator::Withdraw),
}

impl Secret {
    /// A secret made of random bytes.
    ///
    /// # Panics
    ///
    /// Never; hex is a valid name.
    #[must_use]
    pub fn new(random: [u8; RANDOM_BYTES]) -> Self {
        let hex = blake3::Hash::from_bytes(random).to_hex();
        let (public, secret) = hex.split_at(2 * ID_LENGTH);
        let public = format!("cg-{public}");
        let key = public.parse().expect("hex is a valid name");
        let text = format!("{public}.{secret}");
        Self { key, text }
    }

    /// The public id.
    #[must_use]
    pub const fn key(&self) -> &id::Key {
        &self.key
    }

    /// The text that callers send; it must not be logged or stored.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// The hash that the fleet keeps.
    #[must_use]
    pub fn hash(&self) -> SmolStr {
        hash(&self.text)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({}..)", self.key)
    }
}

/// The keyed hash of a secret in hex. The key of the hash is made from the
/// secret's public id, so equal secrets under two ids do not look equal.
#[must_use]
pub fn hash(secret: &str) -> SmolStr {
    let public = secret.rsplit_once('.').map_or("", |(public, _)| public);
    let key = blake3::derive_key(CONTEXT, public.as_bytes());
    let hash = blake3::keyed_hash(&key, secret.as_bytes());
    SmolStr::new(hash.to_hex().as_str())
}

impl Keys {
    /// Issues or withdraws a key.
    pub fn apply(
        &mut self,
        revision: number::Revision,
        step: &Step,
    ) -> (answer::Answer, Vec<view::Change>) {
        match step {
            Step::Issue(issue) => self.issue(revision, issue),
            Step::Withdraw(withdraw) => self.withdraw(revision, withdraw),
        }
    }

    fn issue(
        &mut self,
        revision: number::Revision,
        issue: &operator::Issue,
    ) -> (answer::Answer, Vec<view::Change>) {
        if let Some(reason) = self.objection(issue) {
            return (answer::Answer::Refused(reason), Vec::new());
        }
        let key = view::Key {
            key: issue.key.clone(),
            workspace: issue.workspace.clone(),
            hash: issue.hash.clone(),
        };
        let mut changes = Vec::new();
        if self.workspaces.insert(issue.workspace.clone()) {
            let workspace = issue.workspace.clone();
            changes.push(view::Change::WorkspaceAdded { workspace });
        }
        self.keys.insert(key.key.clone(), key.clone());
        changes.push(view::Change::KeyIssued { key });
        let issued = operator::Issued {
            key: issue.key.clone(),
            workspace: issue.workspace.clone(),
            revision,
        };
        (answer::Answer::Issued(issued), changes)
    }

    fn objection(&self, issue: &operator::Issue) -> Option<SmolStr> {
        if blake3::Hash::from_hex(issue.hash.as_str()).is_err() {
            return Some("the hash is not 64 hex digits".into());
        }
        if self.keys.contains_key(&issue.key) {
            return Some(format!("there is a key {} already", issue.key).into());
        }
        if self.keys.values().any(|key| key.hash == issue.hash) {
            return Some("there is a key with this secret already".into());
        }
        let new = !self.workspaces.contains(&issue.workspace);
        if new && self.workspaces.len() >= MOST_WORKSPACES {
            return Some(format!("there are {MOST_WORKSPACES} workspaces already").into());
        }
        let full = self.keys.len() >= MOST_KEYS;
        full.then(|| format!("there are {MOST_KEYS} keys; withdraw some first").into())
    }

    fn withdraw(
        &mut self,
        revision: number::Revision,
        withdraw: &operator::Withdraw,
    ) -> (answer::Answer, Vec<view::Change>) {
        let key = withdraw.key.clone();
        if self.keys.remove(&key).is_none() {
            let reason = format!("there is no key {key}; list them with key list");
            return (answer::Answer::Refused(reason.into()), Vec::new());
        }
        let withdrawn = operator::Withdrawn { revision };
        let changes = vec![view::Change::KeyWithdrawn { key }];
        (answer::Answer::Withdrawn(withdrawn), changes)
    }

    /// The keys that work.
    pub fn keys(&self) -> impl Iterator<Item = &view::Key> {
        self.keys.values()
    }

    /// The workspaces; one exists once a key was issued for it.
    pub fn workspaces(&self) -> impl Iterator<Item = &id::Workspace> {
        self.workspaces.iter()
    }
}

impl Step {
    /// Who asks.
    #[must_use]
    pub const fn author(&self) -> &operator::Author {
        match self {
            Self::Issue(issue) => &issue.author,
            Self::Withdraw(withdraw) => &withdraw.author,
        }
    }

    /// The step in a few words.
    #[must_use]
    pub fn summary(&self) -> SmolStr {
        match self {
            Self::Issue(issue) => format!("key {} issued for {}", issue.key, issue.workspace),
            Self::Withdraw(withdraw) => format!("key {} withdrawn", withdraw.key),
        }
        .into()
    }
}
