//! Listener for operators: dumps and explanations.

use std::sync::Arc;

use cranberrygap_link::{credential, server};
use cranberrygap_model::address;
use cranberrygap_wire::{method, trace};

use crate::core;
use crate::process;

/// Starts the listener, which serves callers with an operator's secret.
pub(crate) async fn start(
    core: &Arc<core::Core>,
    address: address::Socket,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let dump_core = Arc::clone(core);
    let explain_core = Arc::clone(core);
    let builder = server::Builder::new()
        .secrets(credential::Role::Operator, secrets)
        .method(
            method::DUMP,
            credential::Role::Operator,
            move |_nothing: ()| {
                let core = Arc::clone(&dump_core);
                async move { Ok(process::dump(&core)) }
            },
        )
        .method(
            method::EXPLAIN,
            credential::Role::Operator,
            move |request: trace::Ask| {
                let decisions = explain_core
                    .trace
                    .explain(explain_core.instance(), &request);
                std::future::ready(Ok(decisions))
            },
        );
    builder.start(address).await
}
