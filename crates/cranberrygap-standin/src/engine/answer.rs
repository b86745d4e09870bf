//! Answers of an engine in the form of the OpenAI protocol.

use cranberrygap_model::id;
use serde_json::{Value, json};

/// Which of the two forms an answer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// Token counts of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    pub prompt: u64,
    /// Of the answer.
    pub answer: u64,
}

/// What all parts of one answer have in common.
#[derive(Debug, Clone)]
pub struct Frame {
    form: Form,
    id: String,
    model: id::Model,
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.answer,
            "total_tokens": self.prompt + self.answer,
        })
    }
}

impl Frame {
    /// The frame of an answer with this id.
    #[must_use]
    pub fn new(form: Form, id: String, model: id::Model) -> Self {
        Self { form, id, model }
    }

    /// The whole answer.
    #[must_use]
    pub fn whole(&self, text: &str, finish: &str, usage: Usage) -> Value {
        let (object, choice) = match self.form {
            Form::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish,
                }),
            ),
            Form::Completion => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": usage.json(),
        })
    }

    /// One token as an event. Written by hand, since the engine should not be
    /// what a measurement of streams runs into; tokens hold no character that
    /// JSON escapes.
    #[must_use]
    pub fn token(&self, token: &str) -> String {
        let choice = match self.form {
            Form::Chat => {
                format!(r#"{{"index":0,"delta":{{"content":"{token}"}},"finish_reason":null}}"#)
            }
            Form::Completion => {
                format!(r#"{{"index":0,"text":"{token}","finish_reason":null}}"#)
            }
        };
        self.event(&choice)
    }

    /// The last event with a choice.
    #[must_use]
    pub fn last(&self, finish: &str) -> String {
        let choice = match self.form {
            Form::Chat => format!(r#"{{"index":0,"delta":{{}},"finish_reason":"{finish}"}}"#),
            Form::Completion => format!(r#"{{"index":0,"text":"","finish_reason":"{finish}"}}"#),
        };
        self.event(&choice)
    }

    /// The event with the token counts.
    #[must_use]
    pub fn usage(&self, usage: Usage) -> String {
        let event = json!({
            "id": self.id,
            "object": self.chunk(),
            "created": 0,
            "model": self.model,
            "choices": [],
            "usage": usage.json(),
        });
        format!("data: {event}\n\n")
    }

    fn event(&self, choice: &str) -> String {
        let Self { id, model, .. } = self;
        let object = self.chunk();
        format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":0,\
             \"model\":\"{model}\",\"choices\":[{choice}]}}\n\n"
        )
    }

    fn chunk(&self) -> &'static str {
        match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Completion => "text_completion",
        }
    }
}
