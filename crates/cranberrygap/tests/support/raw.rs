//! A service whose responses are the bytes that a test names.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cranberrygap_model::{address, duration, number, size};
use cranberrygap_standin::announcer;
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use super::fleet;

/// Name of the service.
pub const SERVICE: &str = "raw";

/// Time between announcements.
const HEARTBEAT: duration::Span = duration::Span::from_millis(200);

/// A running service. It closes each connection after one response.
#[derive(Debug)]
pub struct Service {
    response: Arc<Mutex<String>>,
    task: tokio::task::JoinHandle<()>,
    _announcer: announcer::Announcer,
}

impl Service {
    /// Starts a service that announces itself at the entries of a fleet.
    pub async fn start(fleet: &fleet::Fleet) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let source = Source {
            address: address::Socket(listener.local_addr().unwrap()),
            sequence: AtomicU64::new(1),
        };
        let response: Arc<Mutex<String>> = Arc::default();
        let answers = Arc::clone(&response);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let answer = answers.lock().clone();
                tokio::spawn(respond(stream, answer));
            }
        });
        let entries = fleet.entries.iter().map(|entry| entry.endpoints);
        let token = Some(fleet::ENDPOINT_TOKEN.to_owned());
        let announcer =
            announcer::Announcer::start(Arc::new(source), entries.collect(), token, HEARTBEAT);
        Self {
            response,
            task,
            _announcer: announcer,
        }
    }

    /// Answers all requests with these bytes from now on.
    pub fn respond(&self, response: &str) {
        response.clone_into(&mut self.response.lock());
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a request, whose body has a length, and answers it.
async fn respond(mut stream: TcpStream, answer: String) {
    let mut request = Vec::new();
    while !is_whole(&request) {
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return,
            Ok(count) => request.extend_from_slice(&part[..count]),
        }
    }
    // The entry may have given the request up.
    let _left = stream.write_all(answer.as_bytes()).await;
}

fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().unwrap())
}

#[derive(Debug)]
struct Source {
    address: address::Socket,
    sequence: AtomicU64,
}

impl announcer::Source for Source {
    fn announcement(&self) -> endpoint::Announcement {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        endpoint::Announcement {
            details: None,
            accelerators: 0,
            address: self.address,
            boot: number::Boot(1),
            checks_fence: false,
            domain: "a".parse().unwrap(),
            endpoint: "raw-1".parse().unwrap(),
            fence: None,
            kind: endpoint::Kind::Service,
            memory: size::Bytes(0),
            order: None,
            phase: endpoint::Phase::Ready,
            residency: number::Sequence(0),
            resident: Vec::new(),
            role: None,
            sequence: number::Sequence(sequence),
            service: Some(SERVICE.parse().unwrap()),
            software: None,
        }
    }
}
