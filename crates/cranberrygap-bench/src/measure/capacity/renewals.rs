//! Processor time of one renewal of shares, at the leader and at the entry.

use std::hint::black_box;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cranberrygap_link::{client, credential, processor, server};
use cranberrygap_model::{address, duration, id, number, token};
use cranberrygap_wire::{method, share};
use eyre::OptionExt as _;
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::fixture;

const DEADLINE: duration::Span = duration::Span::from_secs(10);

const MICROS: f64 = 1e6;

/// Renewals of so many workspaces, and calls that carry none for what the link costs alone.
pub(super) fn measure(calls: u32, workspaces: usize) -> eyre::Result<Value> {
    let (renew, granted) = (renew(workspaces), granted(workspaces));
    let (leader, entry) = calls_over_a_link(calls, &renew, &granted)?;
    let (empty_leader, empty_entry) = calls_over_a_link(calls, &self::renew(0), &self::granted(0))?;
    let (renew_text, granted_text) = (
        serde_json::to_string(&renew)?,
        serde_json::to_string(&granted)?,
    );
    let decode = micros(calls, || {
        black_box(serde_json::from_str::<share::Renew>(&renew_text).is_ok());
    });
    let encode = micros(calls, || {
        black_box(serde_json::to_string(&granted).is_ok());
    });
    Ok(json!({
        "calls": calls,
        "workspaces": workspaces,
        "renewal_bytes": renew_text.len(),
        "answer_bytes": granted_text.len(),
        "leader_micros_without_the_grant": leader,
        "entry_micros": entry,
        "leader_micros_of_a_call_for_nothing": empty_leader,
        "entry_micros_of_a_call_for_nothing": empty_entry,
        "leader_decodes_micros": decode,
        "leader_encodes_micros": encode,
    }))
}

/// Processor time of each end for one call; each end has a thread of its own.
fn calls_over_a_link(
    calls: u32,
    renew: &share::Renew,
    granted: &share::Granted,
) -> eyre::Result<(f64, f64)> {
    let secret = credential::Secret::new(b"a secret for one measurement").ok_or_eyre("short")?;
    let (tell, told) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    let (shown, answer) = (secret.clone(), granted.clone());
    let serving = thread::spawn(move || serve(shown, answer, tell, stopped));
    let runtime = runtime()?;
    let (spent, served) = runtime.block_on(async {
        let address = told.await?;
        let role = credential::Role::Fleet;
        let client = client::Client::connect(address, role, &secret).await?;
        let begin = processor::thread_time();
        for _call in 0..calls {
            client
                .call::<_, share::Granted>(method::SHARE_RENEW, renew, DEADLINE)
                .await?;
        }
        let spent = processor::thread_time().saturating_sub(begin);
        let _gone = stop.send(());
        let served = serving
            .join()
            .map_err(|_panic| eyre::eyre!("the server failed"))??;
        eyre::Ok((spent, served))
    })?;
    let each = |spent: Duration| spent.as_secs_f64() * MICROS / f64::from(calls);
    Ok((each(served), each(spent)))
}

/// Answers each renewal alike; gives the processor time from the first connection on.
fn serve(
    secret: credential::Secret,
    granted: share::Granted,
    tell: oneshot::Sender<address::Socket>,
    stopped: oneshot::Receiver<()>,
) -> eyre::Result<Duration> {
    let anywhere = address::Socket(SocketAddr::from(([127, 0, 0, 1], 0)));
    runtime()?.block_on(async {
        let role = credential::Role::Fleet;
        let server = server::Builder::new()
            .secrets(role, vec![secret])
            .method(method::SHARE_RENEW, role, move |renew: share::Renew| {
                let mut granted = granted.clone();
                granted.sequence = renew.sequence;
                async move { Ok(granted) }
            })
            .start(anywhere)
            .await?;
        let begin = processor::thread_time();
        let _gone = tell.send(server.address());
        // An end that is gone stops as well.
        drop(stopped.await);
        Ok(processor::thread_time().saturating_sub(begin))
    })
}

fn runtime() -> eyre::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    Ok(builder.enable_all().build()?)
}

fn micros(calls: u32, mut work: impl FnMut()) -> f64 {
    let begin = processor::thread_time();
    (0..calls).for_each(|_| work());
    let spent = processor::thread_time().saturating_sub(begin);
    spent.as_secs_f64() * MICROS / f64::from(calls)
}

fn workspace(number: usize) -> id::Workspace {
    fixture::name(&format!("workspace-{number:02}"))
}

fn renew(workspaces: usize) -> share::Renew {
    let demands = (0..workspaces).map(|number| share::Demand {
        workspace: workspace(number),
        rate: token::Rate(12_345.678_9),
        wanted: token::Count(2_345),
        returned: token::Count(0),
        share: 123_456,
        room: token::Count(1_234),
        first: token::Count(1_345),
        usual: token::Count(2_012),
        lent: token::Count(0),
        unlent: token::Count(0),
    });
    share::Renew {
        instance: fixture::entry(1).instance,
        boot: number::Boot(1 << 52),
        sequence: number::Sequence(123_456),
        lends: false,
        demands: demands.collect(),
    }
}

fn granted(workspaces: usize) -> share::Granted {
    let grants = (0..workspaces).map(|number| share::Grant {
        workspace: workspace(number),
        share: 123_456,
        rate: token::Rate(1_234.567),
        cap: token::Count(12_345),
        tokens: token::Count(1_234),
        lent: token::Count(2_345),
        wait: duration::Span(0),
        longest: duration::Span(0),
    });
    share::Granted {
        sequence: number::Sequence(123_456),
        term: number::Term(3),
        lease: duration::Span::from_secs(3),
        grants: grants.collect(),
    }
}
