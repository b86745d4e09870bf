//! Secrets stay out of everything that people or other machines read.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

mod support;

use std::net::UdpSocket;

use cranberrygap_entry::metric;
use cranberrygap_model::address;
use cranberrygap_trace::metric::Metric;
use cranberrygap_wire::{method, trace};
use serde_json::Value;
use support::{caller, fleet, wait};

const MODEL: &str = "frames-7b";

/// Everything that a fleet shows, by where it is shown.
struct Shown(Vec<(String, String)>);

impl Shown {
    fn add(&mut self, place: &str, text: String) {
        self.0.push((place.to_owned(), text));
    }

    /// All that is shown at places of this name; there may be several engines.
    fn text_of(&self, place: &str) -> String {
        let found = self.0.iter().filter(|(known, _)| known == place);
        found.map(|(_, text)| text.as_str()).collect()
    }

    /// Places where the secret, or its part behind the dot, can be read.
    fn places_of(&self, secret: &str) -> Vec<&str> {
        let part = secret.rsplit('.').next().unwrap();
        let places = self.0.iter().filter(|(_, text)| text.contains(part));
        places.map(|(place, _)| place.as_str()).collect()
    }
}

fn sent_name(metric: &Metric) -> String {
    format!("cranberrygap.entry.entry-1.{}:", metric.name)
}

fn received(socket: &UdpSocket) -> String {
    let mut text = String::new();
    let mut datagram = vec![0; 65_536];
    while let Ok(size) = socket.recv(&mut datagram) {
        text.push_str(&String::from_utf8_lossy(&datagram[..size]));
        text.push('\n');
    }
    text
}

/// Whether an answer is a success and all of it arrives. A stream that is dropped earlier may end
/// before its first token, and the entry then has none to count.
async fn is_read(answer: reqwest::Result<reqwest::Response>) -> bool {
    let Ok(answer) = answer else {
        return false;
    };
    answer.status().is_success() && answer.bytes().await.is_ok()
}

/// Books a draw with the secret in a header that is passed on.
async fn marked(entry: address::Socket, secret: &str, header: &str) -> reqwest::Response {
    let request = reqwest::Client::new().post(format!("http://{entry}/services/draws/draws"));
    let request = request
        .bearer_auth(secret)
        .header("idempotency-key", header);
    request
        .header(header, secret)
        .body("{}")
        .send()
        .await
        .unwrap()
}

async fn collect(fleet: &fleet::Fleet, metrics: String) -> Shown {
    let mut shown = Shown(vec![("metrics".to_owned(), metrics)]);
    for (name, process) in &fleet.processes {
        shown.add(&format!("log of {name}"), process.log() + &process.output());
    }
    let admins = fleet.controls.iter().map(|control| control.admin);
    for admin in admins.chain(fleet.entries.iter().map(|entry| entry.admin)) {
        shown.add("dump", fleet.dump(admin).await.to_string());
    }
    for entry in &fleet.entries {
        let ask = trace::Ask {
            limit: u32::MAX,
            name: "statistics".into(),
            subject: trace::Subject::Workspace,
        };
        let told: trace::Told = fleet.ask(entry.admin, method::EXPLAIN, &ask).await.unwrap();
        shown.add("explanation", serde_json::to_string(&told).unwrap());
    }
    let keys: Value = fleet.ask_leader(method::KEY_LIST, &()).await;
    shown.add("keys", keys.to_string());
    for engine in &fleet.engines {
        shown.add("engine", format!("{:?}", engine.record().all()));
    }
    for service in &fleet.services {
        shown.add("service", format!("{:?}", service.record().all()));
    }
    shown
}

// A caller's library is set up wrongly and repeats the key where endpoints would
// see it; another caller tries a key that does not work. Whoever reads logs,
// dumps or metrics afterwards must not find a key to use.
#[tokio::test(flavor = "multi_thread")]
async fn no_key_or_token_is_shown_anywhere() {
    let (statsd, socket) = fleet::statsd();
    let shape = fleet::Shape::builder()
        .controls(1)
        .entries(1)
        .statsd(statsd);
    let fleet = fleet::Fleet::start(shape.build()).await;
    let entry = fleet.entries[0].callers;
    let secret = fleet.issue("statistics").await;
    let wrong = "cg-0123456789abcdef.marked-key-that-does-not-work";
    let caller = caller::Caller::new(secret.reveal());
    let mut metrics = String::new();
    wait::until("served", async || {
        let chat = caller.chat(entry, MODEL, "hello", true).await;
        let draw = caller.draw(entry, "draw-1", 40).await;
        is_read(chat).await && is_read(draw).await
    })
    .await;

    let in_body = caller
        .chat(entry, MODEL, secret.reveal(), false)
        .await
        .unwrap();
    let in_key = caller.draw(entry, secret.reveal(), 1).await.unwrap();
    let path = format!("/services/draws/lookup/{}", secret.reveal());
    let in_path = caller.get(entry, &path).await.unwrap();
    let encoded = format!(
        "/services/draws/lookup/{}",
        secret.reveal().replace('.', "%2e").replace('c', "%63")
    );
    let in_encoded_path = caller.get(entry, &encoded).await.unwrap();
    let in_request_id = marked(entry, secret.reveal(), "x-request-id").await;
    let in_content_type = marked(entry, secret.reveal(), "content-type").await;
    let stranger = caller::Caller::new(wrong);
    let unknown = stranger.chat(entry, MODEL, "hello", false).await.unwrap();
    wait::until("every metric came", async || {
        metrics.push_str(&received(&socket));
        let sent = |found: &Metric| metrics.contains(&sent_name(found));
        metric::ALL.iter().all(sent) && metrics.contains("control.control-1.leads:")
    })
    .await;
    let shown = collect(&fleet, metrics).await;

    let exposed = [
        in_body,
        in_key,
        in_path,
        in_encoded_path,
        in_request_id,
        in_content_type,
    ];
    for refused in exposed {
        assert_eq!(refused.status(), 400, "{refused:?}");
    }
    assert_eq!(unknown.status(), 401);
    for place in [
        "metrics",
        "log of entry-1",
        "log of control-1",
        "dump",
        "explanation",
    ] {
        assert!(!shown.text_of(place).is_empty(), "{place} shows nothing");
    }
    assert!(shown.text_of("engine").contains("hello"));
    let secrets = [
        secret.reveal(),
        wrong,
        fleet::FLEET_SECRET,
        fleet::OPERATOR_TOKEN,
        fleet::ENDPOINT_TOKEN,
    ];
    for secret in secrets {
        assert_eq!(shown.places_of(secret), [""; 0], "{secret} is shown");
    }
}
