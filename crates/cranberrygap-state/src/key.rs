//! Keys of callers; only keyed hashes of the secrets are stored.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{operator, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;

/// Most keys that are kept; each is in the view of every entry.
const MAX_KEYS: usize = 65_536;

/// Most workspaces that are kept; each is in the view of every entry.
const MAX_WORKSPACES: usize = 4_096;

/// Context of the key hashes, which separates them from every other use of BLAKE3.
const HASH_CONTEXT: &str = "cranberrygap 2026-12 caller key";

/// Number of random bytes in a secret; the first few become the public id.
pub const RANDOM_BYTES: usize = 32;

/// Number of random bytes that become the public id.
const ID_BYTES: usize = 8;

/// A caller's secret when it is issued: `cg-<id>.<secret part>`.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret {
    key: id::Key,
    text: String,
}

/// Valid keys, and existing workspaces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Keys {
    keys: BTreeMap<id::Key, view::Key>,
    workspaces: BTreeSet<id::Workspace>,
}

/// A change of the keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// Makes a key valid from now on.
    Issue(operator::Issue),
    /// Makes a key invalid from now on.
    Withdraw(operator::Withdraw),
}

impl Secret {
    /// Creates a secret from random bytes.
    ///
    /// # Panics
    ///
    /// Never; hex is a valid name.
    #[must_use]
    pub fn new(random: [u8; RANDOM_BYTES]) -> Self {
        let hex = blake3::Hash::from_bytes(random).to_hex();
        let (public, secret) = hex.split_at(2 * ID_BYTES);
        let public = format!("cg-{public}");
        let key = public.parse().expect("hex is a valid name");
        let text = format!("{public}.{secret}");
        Self { key, text }
    }

    /// Returns the public id.
    #[must_use]
    pub const fn key(&self) -> &id::Key {
        &self.key
    }

    /// Returns the text that callers send; it must not be logged or stored.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Returns the hash that the fleet stores.
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

/// Returns the keyed hash of a secret in hex.
///
/// The key of the hash is derived from the secret's public id, so that equal secrets
/// with different ids have different hashes.
#[must_use]
pub fn hash(secret: &str) -> SmolStr {
    let public = secret.rsplit_once('.').map_or("", |(public, _)| public);
    let key = blake3::derive_key(HASH_CONTEXT, public.as_bytes());
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
        if let Some(reason) = self.refusal(issue) {
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

    fn refusal(&self, issue: &operator::Issue) -> Option<SmolStr> {
        if blake3::Hash::from_hex(issue.hash.as_str()).is_err() {
            return Some("the hash is not 64 hex digits".into());
        }
        if self.keys.contains_key(&issue.key) {
            return Some(format!("there is a key {} already", issue.key).into());
        }
        if self.keys.values().any(|key| key.hash == issue.hash) {
            return Some("there is a key with this secret already".into());
        }
        let is_new = !self.workspaces.contains(&issue.workspace);
        if is_new && self.workspaces.len() >= MAX_WORKSPACES {
            return Some(format!("there are {MAX_WORKSPACES} workspaces already").into());
        }
        let keys_full = self.keys.len() >= MAX_KEYS;
        keys_full.then(|| format!("there are {MAX_KEYS} keys; withdraw some first").into())
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

    /// Returns the valid keys.
    pub fn keys(&self) -> impl Iterator<Item = &view::Key> {
        self.keys.values()
    }

    /// Returns the workspaces; one exists once a key was issued for it.
    pub fn workspaces(&self) -> impl Iterator<Item = &id::Workspace> {
        self.workspaces.iter()
    }
}

impl Step {
    /// Returns the operator who asks.
    #[must_use]
    pub const fn author(&self) -> &operator::Author {
        match self {
            Self::Issue(issue) => &issue.author,
            Self::Withdraw(withdraw) => &withdraw.author,
        }
    }

    /// Describes the step in a few words.
    #[must_use]
    pub fn summary(&self) -> SmolStr {
        match self {
            Self::Issue(issue) => format!("key {} issued for {}", issue.key, issue.workspace),
            Self::Withdraw(withdraw) => format!("key {} withdrawn", withdraw.key),
        }
        .into()
    }
}
