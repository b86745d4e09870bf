//! The body of a model request, as far as this system must understand it.

use std::collections::BTreeMap;

use bytes::Bytes;
use cranberrygap_model::{id, token};
use serde_json::value::RawValue;
use smol_str::{SmolStr, ToSmolStr as _};

use crate::digest;
use crate::refusal::Refusal;

/// Keys of the body that this system reads or sets.
const MODEL: &str = "model";
const STREAM: &str = "stream";
const MAX_TOKENS: &str = "max_tokens";
const MAX_COMPLETION_TOKENS: &str = "max_completion_tokens";
const STREAM_OPTIONS: &str = "stream_options";

/// Number of answers to one prompt. More than one cannot be resumed, and their
/// tokens would not be covered by the bound.
const CHOICES: &str = "n";
/// Tokens that the caller has already.
const RESUME_FROM: &str = "resume_from";

/// A checked body and what is sent to the engine in its place.
#[derive(Debug, Clone)]
pub struct Body {
    /// The model that the caller named.
    pub model: id::Model,
    /// Whether the answer shall come as events.
    pub stream: bool,
    /// Bound on the prompt's tokens: a token is at least one byte.
    pub prompt: token::Count,
    /// Bound on the generated tokens; always set in the dispatched body.
    pub max_tokens: token::Count,
    /// The body for the engine.
    pub dispatched: Bytes,
}

impl Body {
    /// Reads a body; `prompt_key` is the key that holds the prompt.
    ///
    /// # Errors
    ///
    /// [`Refusal::BodyMalformed`] with what is wrong.
    pub fn parse(bytes: &[u8], prompt_key: &str, default_max: u64) -> Result<Self, Refusal> {
        let mut fields: BTreeMap<SmolStr, Box<RawValue>> =
            serde_json::from_slice(bytes).map_err(|cause| malformed(&cause.to_string()))?;
        let model = field::<id::Model>(&fields, MODEL)?.ok_or_else(|| missing(MODEL))?;
        let stream = field::<bool>(&fields, STREAM)?.unwrap_or(false);
        let prompt = fields.get(prompt_key).ok_or_else(|| missing(prompt_key))?;
        let prompt = token::Count(prompt.get().len() as u64);
        if field::<u64>(&fields, CHOICES)?.is_some_and(|choices| choices != 1) {
            return Err(malformed("n must be 1"));
        }
        fields.remove(RESUME_FROM);
        let completion = field::<u64>(&fields, MAX_COMPLETION_TOKENS)?;
        let asked = completion.or(field::<u64>(&fields, MAX_TOKENS)?);
        let max_tokens = asked.unwrap_or(default_max);
        if max_tokens == 0 {
            return Err(malformed("max_tokens must be at least 1"));
        }
        fields.remove(MAX_COMPLETION_TOKENS);
        set(&mut fields, MAX_TOKENS, &max_tokens);
        if stream {
            // The engine then says at the end what it used, and the rest of the
            // reservation goes back to the workspace.
            set(
                &mut fields,
                STREAM_OPTIONS,
                &serde_json::json!({ "include_usage": true }),
            );
        }
        let dispatched =
            serde_json::to_vec(&fields).map_err(|cause| malformed(&cause.to_string()))?;
        let max_tokens = token::Count(max_tokens);
        Ok(Self {
            model,
            stream,
            prompt,
            max_tokens,
            dispatched: dispatched.into(),
        })
    }

    /// The body for an engine that goes on behind the first `delivered` tokens.
    pub(crate) fn resume_after(&self, delivered: u64) -> Bytes {
        if delivered == 0 {
            return Bytes::clone(&self.dispatched);
        }
        let fields = serde_json::from_slice::<BTreeMap<SmolStr, Box<RawValue>>>(&self.dispatched);
        let mut fields = fields.unwrap_or_default();
        set(&mut fields, RESUME_FROM, &delivered);
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }

    /// Upper bound of what the request can cost.
    pub fn bound(&self) -> token::Count {
        token::Count(self.prompt.0.saturating_add(self.max_tokens.0))
    }
}

impl Body {
    /// Names the request wherever in the fleet it arrives again.
    pub fn fingerprint(&self, workspace: &id::Workspace, path: &str) -> SmolStr {
        let workspace = workspace.as_str().as_bytes();
        digest::of([workspace, path.as_bytes(), &self.dispatched])
    }
}

fn field<T: serde::de::DeserializeOwned>(
    fields: &BTreeMap<SmolStr, Box<RawValue>>,
    key: &str,
) -> Result<Option<T>, Refusal> {
    let Some(raw) = fields.get(key) else {
        return Ok(None);
    };
    let read: Result<Option<T>, _> = serde_json::from_str(raw.get());
    read.map_err(|cause| malformed(&format!("{key}: {cause}")))
}

fn set(fields: &mut BTreeMap<SmolStr, Box<RawValue>>, key: &str, value: &impl serde::Serialize) {
    if let Ok(raw) = serde_json::value::to_raw_value(value) {
        fields.insert(key.to_smolstr(), raw);
    }
}

fn missing(key: &str) -> Refusal {
    malformed(&format!("{key} is missing"))
}

fn malformed(cause: &str) -> Refusal {
    Refusal::BodyMalformed(cause.to_smolstr())
}
