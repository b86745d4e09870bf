//! The operators' listener of an entry.

use std::sync::Arc;

use cranberrygap_link::{credential, server};
use cranberrygap_model::address;
use cranberrygap_wire::{method, trace};

use crate::core;
use crate::process;

/// Serves dumps and explanations to operators.
pub(crate) async fn start(
    core: &Arc<core::Core>,
    wanted: address::Socket,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let dumped = Arc::clone(core);
    let explained = Arc::clone(core);
    let builder = server::Builder::new()
        .secrets(credential::Role::Operator, secrets)
        .method(
            method::DUMP,
            credential::Role::Operator,
            move |_nothing: ()| {
                let core = Arc::clone(&dumped);
                async move { Ok(process::dump(&core)) }
            },
        )
        .method(
            method::EXPLAIN,
            credential::Role::Operator,
            move |ask: trace::Ask| {
                let told = explained.trace.tell(explained.instance(), &ask);
                std::future::ready(Ok(told))
            },
        );
    builder.start(wanted).await
}
