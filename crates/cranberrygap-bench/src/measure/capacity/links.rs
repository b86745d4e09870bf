//! Processor time and bytes of one call over an authenticated link.

use std::fs;
use std::net::SocketAddr;

use cranberrygap_link::{client, credential, server};
use cranberrygap_model::{address, duration, number};
use cranberrygap_wire::{method, view};
use eyre::OptionExt as _;
use serde_json::{Value, json};

use super::fixture;

const STAT: &str = "/proc/self/stat";

/// Clock ticks a second in that file; fixed by the system's interface.
const TICKS: f64 = 100.0;

/// Fields of user and system time behind the command's closing bracket.
const USER_FIELD: usize = 11;

const DEADLINE: duration::Span = duration::Span::from_secs(10);

pub(super) fn measure(calls: u32) -> eyre::Result<Value> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(run(calls))
}

async fn run(calls: u32) -> eyre::Result<Value> {
    let secret = credential::Secret::new(b"a secret for one measurement").ok_or_eyre("short")?;
    let anywhere = address::Socket(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = server::Builder::new()
        .secrets(credential::Role::Fleet, vec![secret.clone()])
        .method(
            method::VIEW_CONFIRM,
            credential::Role::Fleet,
            |confirm: view::Confirm| async move {
                Ok(view::Confirmed {
                    revision: confirm.revision,
                    term: number::Term(1),
                    lease: duration::Span::from_millis(1_500),
                })
            },
        )
        .start(anywhere)
        .await?;
    let role = credential::Role::Fleet;
    let client = client::Client::connect(server.address(), role, &secret).await?;
    let confirm = fixture::confirm(0, 0);
    let before = processor_seconds();
    for _call in 0..calls {
        client
            .call::<_, view::Confirmed>(method::VIEW_CONFIRM, &confirm, DEADLINE)
            .await?;
    }
    let spent = processor_seconds() - before;
    Ok(json!({
        "calls": calls,
        "processor_micros_of_a_confirmation_at_both_ends": spent * 1e6 / f64::from(calls),
        "confirmation_bytes_before_the_envelope": serde_json::to_vec(&confirm)?.len(),
    }))
}

/// Processor time of this process so far.
fn processor_seconds() -> f64 {
    let text = fs::read_to_string(STAT).unwrap_or_default();
    let behind = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = behind
        .split_whitespace()
        .filter_map(|word| word.parse().ok())
        .collect();
    // The state letter is not a number, so the fields start one earlier.
    let user = fields.get(USER_FIELD - 1).copied().unwrap_or_default();
    let system = fields.get(USER_FIELD).copied().unwrap_or_default();
    (user + system) / TICKS
}
