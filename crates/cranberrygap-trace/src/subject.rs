//! Selection of decisions by subject.

use cranberrygap_model::id;
use cranberrygap_wire::trace;

/// Whether the decision concerns the queried subject.
pub(crate) fn matches(decision: &trace::Decision, ask: &trace::Ask) -> bool {
    let name = match ask.subject {
        trace::Subject::Request => decision.request.as_ref().map(id::Request::as_str),
        trace::Subject::Model => decision.model.as_ref().map(id::Model::as_str),
        trace::Subject::Workspace => decision.workspace.as_ref().map(id::Workspace::as_str),
        trace::Subject::Endpoint => decision.endpoint.as_ref().map(id::Endpoint::as_str),
    };
    name == Some(ask.name.as_str())
}
