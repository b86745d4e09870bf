//! Builder for decisions.

use std::fmt;

use cranberrygap_model::id;
use cranberrygap_wire::trace;
use smol_str::{SmolStr, ToSmolStr as _};

/// Subjects of a decision, as far as they are known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct About {
    /// Request that the decision concerns.
    pub request: Option<id::Request>,
    /// Workspace that the decision concerns.
    pub workspace: Option<id::Workspace>,
    /// Model that the decision concerns.
    pub model: Option<id::Model>,
    /// Endpoint that the decision concerns.
    pub endpoint: Option<id::Endpoint>,
}

/// Builder for one decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Note(trace::Decision);

impl About {
    /// Subjects with only a request.
    #[must_use]
    pub fn request(request: &id::Request) -> Self {
        Self {
            request: Some(request.clone()),
            ..Self::default()
        }
    }

    /// Copy of these subjects with the endpoint set.
    #[must_use]
    pub fn at(&self, endpoint: &id::Endpoint) -> Self {
        Self {
            endpoint: Some(endpoint.clone()),
            ..self.clone()
        }
    }
}

impl Note {
    /// Starts a decision taken at the Unix time `at`, in milliseconds.
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

    /// Adds a fact on which the decision is based.
    #[must_use]
    pub fn fact(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.0.facts.push(trace::Fact {
            name: SmolStr::new_static(name),
            value: value.to_smolstr(),
        });
        self
    }

    /// Returns the finished decision.
    #[must_use]
    pub fn finish(self) -> trace::Decision {
        self.0
    }
}
