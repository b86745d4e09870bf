//! What callers of an engine send.

use cranberrygap_model::id;
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;

/// Body of a call, chat or plain completion.
#[derive(Debug, Clone, Deserialize)]
pub struct Call {
    /// The model.
    pub model: id::Model,
    /// Messages of a chat.
    #[serde(default)]
    messages: Vec<Message>,
    /// Prompt of a plain completion.
    #[serde(default)]
    prompt: Value,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    max_tokens: Option<u64>,
    /// Newer name of the same.
    max_completion_tokens: Option<u64>,
    /// What goes into a stream besides tokens.
    #[serde(default)]
    stream_options: Options,
    /// Tokens that the caller has already; the answer goes on behind them.
    #[serde(default)]
    pub resume_from: u64,
    /// A lower number goes first.
    #[serde(default)]
    pub priority: i64,
}

#[derive(Debug, Clone, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

#[derive(Debug, Clone, Default, Deserialize)]
struct Options {
    #[serde(default)]
    include_usage: bool,
}

impl Call {
    /// The text that the tokens are made from.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            // Writing to a string can't fail.
            let _written = writeln!(text, "{}: {}", message.role, plain(&message.content));
        }
        text.push_str(&plain(&self.prompt));
        text
    }

    /// Tokens of the whole answer, those that the caller has included.
    #[must_use]
    pub fn length(&self, natural: u64) -> u64 {
        let asked = self.max_completion_tokens.or(self.max_tokens);
        asked.map_or(natural, |asked| asked.min(natural))
    }

    /// Why the answer ends after its last token.
    #[must_use]
    pub fn finish(&self, natural: u64) -> &'static str {
        if self.length(natural) < natural {
            return "length";
        }
        "stop"
    }

    /// Whether a stream ends with its token counts.
    #[must_use]
    pub fn wants_usage(&self) -> bool {
        self.stream_options.include_usage
    }
}

fn plain(content: &Value) -> String {
    match content {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
