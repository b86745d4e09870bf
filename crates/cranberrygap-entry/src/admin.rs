//! The operators' listener of an entry.

use std::sync::Arc;

use cranberrygap_link::{credential, server};
use cranberrygap_model::address;
use cranberrygap_wire::method;

use crate::core;
use crate::process;

/// Serves dumps to operators.
pub(crate) async fn start(
    core: &Arc<core::Core>,
    wanted: address::Socket,
    secrets: Vec<credential::Secret>,
) -> Result<server::Handle, server::Error> {
    let dumped = Arc::clone(core);
    let builder = server::Builder::new()
        .secrets(credential::Role::Operator, secrets)
        .method(
            method::DUMP,
            credential::Role::Operator,
            move |_nothing: ()| {
                let core = Arc::clone(&dumped);
                async move { Ok(process::dump(&core)) }
            },
        );
    builder.start(wanted).await
}
