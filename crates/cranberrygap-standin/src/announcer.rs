//! Tells the entries that an endpoint exists, again with each heartbeat.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cranberrygap_model::{address, duration};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Time after which an entry that does not answer is given up for this heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Whatever can describe itself to the fleet.
pub trait Source: Send + Sync {
    /// The announcement as of now, with a sequence number that rises.
    fn announcement(&self) -> endpoint::Announcement;
}

/// Sends announcements until it is dropped.
#[derive(Debug)]
pub struct Announcer {
    changed: Arc<Notify>,
    /// Announcements asked for by the source's owner.
    asked: Arc<AtomicU64>,
    /// How many of those have been answered or given up.
    done: watch::Sender<u64>,
    targets: Arc<Mutex<Vec<address::Socket>>>,
    task: JoinHandle<()>,
}

struct Sender {
    client: reqwest::Client,
    source: Arc<dyn Source>,
    targets: Arc<Mutex<Vec<address::Socket>>>,
    token: Option<String>,
    heartbeat: duration::Span,
}

impl Announcer {
    /// Starts to announce to the first of the targets that answers.
    #[must_use]
    pub fn start(
        source: Arc<dyn Source>,
        targets: Vec<address::Socket>,
        token: Option<String>,
        heartbeat: duration::Span,
    ) -> Self {
        let targets = Arc::new(Mutex::new(targets));
        let changed = Arc::new(Notify::new());
        let sender = Sender {
            client: reqwest::Client::new(),
            source,
            targets: Arc::clone(&targets),
            token,
            heartbeat,
        };
        let asked = Arc::new(AtomicU64::new(0));
        let done = watch::Sender::new(0);
        let task = tokio::spawn(run(
            sender,
            Arc::clone(&changed),
            Arc::clone(&asked),
            done.clone(),
        ));
        Self {
            changed,
            asked,
            done,
            targets,
            task,
        }
    }

    /// Announces again without waiting for the heartbeat.
    pub fn announce_now(&self) {
        let _turn = self.ask();
    }

    /// Announces again; ends once an entry has answered or none did.
    pub fn announced(&self) -> impl Future<Output = ()> + Send + use<> {
        let turn = self.ask();
        let mut done = self.done.subscribe();
        async move {
            // The error means that the announcer was dropped, so nothing will come.
            let _outcome = done.wait_for(|done| *done >= turn).await;
        }
    }

    fn ask(&self) -> u64 {
        let turn = self.asked.fetch_add(1, Ordering::SeqCst) + 1;
        self.changed.notify_one();
        turn
    }

    /// Where the next announcement goes, in order of preference.
    #[must_use]
    pub fn targets(&self) -> Vec<address::Socket> {
        self.targets.lock().clone()
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    mut sender: Sender,
    changed: Arc<Notify>,
    asked: Arc<AtomicU64>,
    done: watch::Sender<u64>,
) {
    loop {
        let turn = asked.load(Ordering::SeqCst);
        sender.announce().await;
        done.send_replace(turn);
        tokio::select! {
            () = changed.notified() => {}
            () = tokio::time::sleep(sender.heartbeat.to_std()) => {}
        }
    }
}

impl Sender {
    async fn announce(&mut self) {
        let targets = self.targets.lock().clone();
        for target in targets {
            let Some(welcome) = self.post(target).await else {
                continue;
            };
            self.heartbeat = welcome.heartbeat;
            self.prefer(target, welcome.addresses);
            return;
        }
    }

    async fn post(&self, target: address::Socket) -> Option<endpoint::Welcome> {
        let announcement = self.source.announcement();
        let mut request = self
            .client
            .post(format!("http://{target}/announce"))
            .timeout(ANSWER_TIMEOUT)
            .json(&announcement);
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let answer = request.send().await.ok()?.error_for_status().ok()?;
        answer.json().await.ok()
    }

    /// The addresses of the answer go first; those known before stay behind
    /// them, so that an answer with few addresses cannot strand the endpoint.
    fn prefer(&self, target: address::Socket, addresses: Vec<address::Socket>) {
        let mut targets = self.targets.lock();
        let mut order = addresses;
        if order.is_empty() {
            order.push(target);
        }
        for known in targets.iter() {
            if !order.contains(known) {
                order.push(*known);
            }
        }
        *targets = order;
    }
}
