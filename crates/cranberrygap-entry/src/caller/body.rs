//! The body of a model request. Fields that the entry does not use are forwarded unchanged.

use std::collections::BTreeMap;

use bytes::Bytes;
use cranberrygap_model::{id, token};
use serde_json::value::RawValue;
use smol_str::{SmolStr, ToSmolStr as _};

use crate::digest;
use crate::refusal::Refusal;

/// Key of the model's name. This key and those below are read or set by the entry.
const MODEL: &str = "model";
const STREAM: &str = "stream";
const MAX_TOKENS: &str = "max_tokens";
const MAX_COMPLETION_TOKENS: &str = "max_completion_tokens";
const STREAM_OPTIONS: &str = "stream_options";

/// Key of the number of answers to one prompt. Only 1 is allowed: several answers cannot be
/// resumed, and their tokens would exceed the reservation.
const CHOICES: &str = "n";
/// Key of the number of tokens that the caller has already received.
const RESUME_FROM: &str = "resume_from";

/// A validated request body, with the body that is sent to the engine.
#[derive(Debug, Clone)]
pub struct Body {
    /// Model that the caller requests.
    pub model: id::Model,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// Upper bound of the prompt's tokens: its length in bytes, as a token has at least one.
    pub prompt_tokens: token::Count,
    /// Upper bound of the generated tokens; always set in the dispatched body.
    pub max_tokens: token::Count,
    /// Body that is sent to the engine.
    pub dispatched: Bytes,
}

impl Body {
    /// Parses and validates a body.
    ///
    /// `prompt_key` is the key of the prompt. `default_max` bounds the generated tokens if
    /// the caller sets no bound.
    ///
    /// # Errors
    ///
    /// [`Refusal::BodyMalformed`] with the cause.
    pub fn parse(bytes: &[u8], prompt_key: &str, default_max: u64) -> Result<Self, Refusal> {
        let mut fields: BTreeMap<SmolStr, Box<RawValue>> =
            serde_json::from_slice(bytes).map_err(|cause| malformed(&cause.to_string()))?;
        let model = parse_field::<id::Model>(&fields, MODEL)?.ok_or_else(|| missing(MODEL))?;
        let stream = parse_field::<bool>(&fields, STREAM)?.unwrap_or(false);
        let prompt = fields.get(prompt_key).ok_or_else(|| missing(prompt_key))?;
        let prompt_tokens = token::Count(prompt.get().len() as u64);
        if parse_field::<u64>(&fields, CHOICES)?.is_some_and(|choices| choices != 1) {
            return Err(malformed("n must be 1"));
        }
        fields.remove(RESUME_FROM);
        let max_completion_tokens = parse_field::<u64>(&fields, MAX_COMPLETION_TOKENS)?;
        let requested = max_completion_tokens.or(parse_field::<u64>(&fields, MAX_TOKENS)?);
        let max_tokens = requested.unwrap_or(default_max);
        if max_tokens == 0 {
            return Err(malformed("max_tokens must be at least 1"));
        }
        fields.remove(MAX_COMPLETION_TOKENS);
        set_field(&mut fields, MAX_TOKENS, &max_tokens);
        if stream {
            // The engine then reports the tokens it used at the end of the stream, and the
            // unused part of the reservation returns to the workspace.
            set_field(
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
            prompt_tokens,
            max_tokens,
            dispatched: dispatched.into(),
        })
    }

    /// Returns the body for an engine that continues after the first `delivered` tokens.
    pub(crate) fn resume_after(&self, delivered: u64) -> Bytes {
        if delivered == 0 {
            return Bytes::clone(&self.dispatched);
        }
        let fields = serde_json::from_slice::<BTreeMap<SmolStr, Box<RawValue>>>(&self.dispatched);
        let mut fields = fields.unwrap_or_default();
        set_field(&mut fields, RESUME_FROM, &delivered);
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }

    /// Upper bound of the tokens that the request can cost: prompt and answer.
    pub fn max_cost(&self) -> token::Count {
        token::Count(self.prompt_tokens.0.saturating_add(self.max_tokens.0))
    }
}

impl Body {
    /// Hash of the request, equal at every entry that receives the same request.
    pub fn fingerprint(&self, workspace: &id::Workspace, path: &str) -> SmolStr {
        let workspace = workspace.as_str().as_bytes();
        digest::hash_parts([workspace, path.as_bytes(), &self.dispatched])
    }
}

fn parse_field<T: serde::de::DeserializeOwned>(
    fields: &BTreeMap<SmolStr, Box<RawValue>>,
    key: &str,
) -> Result<Option<T>, Refusal> {
    let Some(raw) = fields.get(key) else {
        return Ok(None);
    };
    let parsed: Result<Option<T>, _> = serde_json::from_str(raw.get());
    parsed.map_err(|cause| malformed(&format!("{key}: {cause}")))
}

fn set_field(
    fields: &mut BTreeMap<SmolStr, Box<RawValue>>,
    key: &str,
    value: &impl serde::Serialize,
) {
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
