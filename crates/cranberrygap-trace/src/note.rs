//! Builds a decision step by step.

use std::fmt;

use cranberrygap_model::id;
use cranberrygap_wire::trace;
use smol_str::{SmolStr, ToSmolStr as _};

/// What a decision is about, as far as that is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct About {
    /// The request.
    pub request: Option<id::Request>,
    /// The workspace.
    pub workspace: Option<id::Workspace>,
    /// The model.
    pub model: Option<id::Model>,
    /// The endpoint.
    pub endpoint: Option<id::Endpoint>,
}

/// A decision that is being written down.
#[derive(Debug, Clone, PartialEq)]
pub struct Note(trace::Decision);

impl About {
    /// About this request, and nothing more yet.
    #[must_use]
    pub fn request(request: &id::Request) -> Self {
        Self {
            request: Some(request.clone()),
            ..Self::default()
        }
    }

    /// The same, and about this endpoint.
    #[must_use]
    pub fn at(&self, endpoint: &id::Endpoint) -> Self {
        Self {
            endpoint: Some(endpoint.clone()),
            ..self.clone()
        }
    }
}

impl Note {
    /// A decision taken at this Unix time in milliseconds.
    #[must_use]
    pub fn new(at: u64, about: &About, code: &'static str, sentence: impl fmt::Display) -> Self {
        Self(trace::Decision {
            at,
            code: SmolStr::new_static(code),
            endpoint: about.endpoint.clone(),
            facts: Vec::new(),
            model: about.model.clone(),
            request: about.request.clone(),
            sentence: sentence.to_smolstr(),
            workspace: about.workspace.clone(),
        })
    }

    /// The same with one more fact that it rests on.
    #[must_use]
    pub fn fact(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.0.facts.push(trace::Fact {
            name: SmolStr::new_static(name),
            value: value.to_smolstr(),
        });
        self
    }

    /// The decision.
    #[must_use]
    pub fn finish(self) -> trace::Decision {
        self.0
    }
}
