//! The booking service, the store, the proxy and announcements.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]

use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, duration, size};
use cranberrygap_standin::{booking, listener, loopback, proxy, store};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};

fn start_service(announce_to: Vec<address::Socket>) -> booking::Handle {
    let settings = booking::Settings::builder()
        .endpoint("draws-1".parse().unwrap())
        .service("draws".parse().unwrap())
        .domain("east".parse().unwrap())
        .address(loopback::unique())
        .announce_to(announce_to)
        .token("endpoint-token".to_owned())
        .build();
    booking::Handle::start(settings).unwrap()
}

async fn draw(address: address::Socket, key: &str) -> reqwest::Result<reqwest::Response> {
    let request = reqwest::Client::new().post(format!("http://{address}/draws"));
    let request = request.header("idempotency-key", key).body("sample of 40");
    request.timeout(Duration::from_secs(20)).send().await
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("never happened: {what}");
}

#[tokio::test]
async fn each_run_of_a_booking_is_counted() {
    let service = start_service(Vec::new());

    draw(service.address(), "k-1").await.unwrap();
    service.set_fault(booking::Fault::AnswerLost);
    let lost = draw(service.address(), "k-1").await;
    service.set_fault(booking::Fault::Refuse);
    let refused = draw(service.address(), "k-2").await.unwrap();

    lost.unwrap_err();
    assert_eq!(refused.status(), 503);
    let runs: Vec<u64> = service.runs().into_values().collect();
    assert_eq!(runs, [2]);
    assert!(service.record().contains("k-2"));
}

struct Announced(Arc<Mutex<Vec<endpoint::Announcement>>>);

#[handler]
impl Announced {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        assert_eq!(req.headers()["authorization"], "Bearer endpoint-token");
        let announcement = req.parse_json().await.unwrap();
        self.0.lock().push(announcement);
        res.render(Json(endpoint::Welcome {
            addresses: Vec::new(),
            heartbeat: duration::Span::from_millis(5),
        }));
    }
}

#[tokio::test]
async fn service_announces_itself_until_it_leaves() {
    let heard = Arc::new(Mutex::new(Vec::new()));
    let router = Router::with_path("announce").post(Announced(Arc::clone(&heard)));
    let entry = listener::Listener::bind(loopback::unique(), router).unwrap();
    let dead = loopback::unique();

    let service = start_service(vec![dead, entry.address()]);
    wait_until("three heartbeats", || heard.lock().len() >= 3).await;
    service.stop().await;

    let heard = heard.lock();
    let rises = heard.is_sorted_by(|a, b| a.sequence < b.sequence);
    assert!(rises);
    assert_eq!(heard[0].kind, endpoint::Kind::Service);
    assert_eq!(heard.last().unwrap().phase, endpoint::Phase::Leaving);
}

#[tokio::test]
async fn store_lists_models_and_slows_down_beyond_its_slots() {
    let large = store::model("large".parse().unwrap(), size::Bytes(8 << 30));
    let settings = store::Settings::builder()
        .address(loopback::unique())
        .models(vec![large.clone()])
        .model_slots(2.0)
        .model_time(Duration::from_millis(60))
        .build();
    let store = store::Store::start(settings).unwrap();
    let url = format!("http://{}", store.address());

    let answer = reqwest::get(format!("{url}/models")).await.unwrap();
    let listing: endpoint::Listing = answer.json().await.unwrap();
    let started = tokio::time::Instant::now();
    let loads = (0..6).map(|_| reqwest::get(format!("{url}/weights/large")));
    futures_util::future::join_all(loads).await;

    assert_eq!(listing.models, [large]);
    assert_eq!(store.usage().finished.into_values().sum::<u64>(), 6);
    // Six loads on two slots take three times as long as one; a lower bound
    // holds however busy the machine is.
    assert!(started.elapsed() >= Duration::from_millis(150));
}

// Something between two ends forgets a connection: it stays open and carries
// nothing, while a new one works. A caller would wait for ever.
#[tokio::test]
async fn silenced_connection_stays_open_and_a_new_one_works() {
    let service = start_service(Vec::new());
    let proxy = proxy::Proxy::start(loopback::unique(), service.address())
        .await
        .unwrap();
    let url = format!("http://{}/lookup/7", proxy.address());
    let pooled = reqwest::Client::new();
    pooled.get(&url).send().await.unwrap().text().await.unwrap();

    proxy.silence_open();
    let silent = pooled
        .get(&url)
        .timeout(Duration::from_millis(200))
        .send()
        .await;
    let fresh = reqwest::Client::new().get(&url).send().await.unwrap();

    assert!(silent.unwrap_err().is_timeout());
    assert_eq!(fresh.status(), 200);
    assert_eq!(service.lookups(), 2);
}

#[tokio::test]
async fn proxy_resets_blackholes_and_cuts() {
    let service = start_service(Vec::new());
    let proxy = proxy::Proxy::start(loopback::unique(), service.address())
        .await
        .unwrap();
    let url = format!("http://{}/lookup/7", proxy.address());
    let get = |timeout| reqwest::Client::new().get(&url).timeout(timeout).send();
    let short = Duration::from_secs(1);

    // The service runs the request, the answer is lost.
    proxy.blackhole(proxy::Direction::ToClient);
    let lost = get(short).await;
    assert!(lost.unwrap_err().is_timeout());
    assert_eq!(service.lookups(), 1);

    // The request is lost on its way.
    proxy.heal();
    proxy.blackhole(proxy::Direction::ToTarget);
    let lost = get(short).await;
    assert!(lost.unwrap_err().is_timeout());
    assert_eq!(service.lookups(), 1);

    proxy.heal();
    proxy.cut_after(20);
    let cut = get(Duration::from_secs(20)).await;
    assert!(!cut.unwrap_err().is_timeout());

    proxy.heal();
    service.set_fault(booking::Fault::Delay(Duration::from_secs(20)));
    let held = tokio::spawn(draw(proxy.address(), "k-1"));
    wait_until("booking ran", || service.runs().len() == 1).await;
    proxy.reset_open();
    let reset = held.await.unwrap();
    assert!(!reset.unwrap_err().is_timeout());
}
