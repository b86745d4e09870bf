//! The data of one event in an engine's stream. Fields that the entry does not use are ignored.

use std::borrow::Cow;

use cranberrygap_policy::stream::Event;
use serde::Deserialize;
use serde::de::IgnoredAny;
use smallvec::SmallVec;

/// Parsed data of an event.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Chunk<'data> {
    #[serde(borrow, default)]
    choices: SmallVec<[Choice<'data>; 1]>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice<'data> {
    #[serde(borrow)]
    delta: Option<Delta<'data>>,
    #[serde(borrow)]
    text: Option<Cow<'data, str>>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Delta<'data> {
    #[serde(borrow)]
    content: Option<Cow<'data, str>>,
    tool_calls: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl<'data> Chunk<'data> {
    /// Parses an event's data; data that is malformed gives a chunk without content.
    pub(crate) fn parse(data: &'data [u8]) -> Self {
        serde_json::from_slice(data).unwrap_or_default()
    }

    /// The stream events that the data contains, in order.
    pub(crate) fn events(&self) -> SmallVec<[Event; 2]> {
        let mut events = SmallVec::new();
        for choice in &self.choices {
            if choice.has_token() {
                events.push(Event::Token);
            }
            if choice.finish_reason.is_some() {
                events.push(Event::Finish);
            }
        }
        if events.is_empty() {
            let event = if self.usage.is_some() {
                Event::Usage
            } else {
                Event::Other
            };
            events.push(event);
        }
        events
    }

    /// Tokens of prompt and answer that the engine reports as used.
    pub(crate) fn total_tokens(&self) -> Option<u64> {
        self.usage.as_ref().map(|usage| usage.total_tokens)
    }
}

impl Choice<'_> {
    fn has_token(&self) -> bool {
        let has_text =
            |text: &Option<Cow<'_, str>>| text.as_ref().is_some_and(|text| !text.is_empty());
        let in_delta = self
            .delta
            .as_ref()
            .is_some_and(|delta| has_text(&delta.content) || delta.tool_calls.is_some());
        in_delta || has_text(&self.text)
    }
}
