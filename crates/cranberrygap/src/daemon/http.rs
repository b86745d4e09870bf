//! A small HTTP listener for calls beside requests: checks, metrics, other forms.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::gate;

/// Largest body of a call, in bytes: a configuration of 4 MiB and some more.
const LARGEST_BODY: usize = 5 << 20;

/// Longest time for a call's body.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, such as when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A call, read whole.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// Its query; empty without one.
    pub query: String,
    /// Its body.
    pub body: Bytes,
}

/// An answer.
pub type Answer = Response<Full<Bytes>>;

/// Serves `handler` at `address` until the process ends.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn serve<H, A>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let listener = listen(address)?;
    tokio::spawn(accept(listener, None, Arc::new(handler)));
    Ok(())
}

/// Serves `handler` at `address` until the process ends, and refuses new connections whose first
/// call is beyond the bound of `gate` before anything is parsed.
///
/// # Errors
///
/// When the address cannot be listened on.
pub fn serve_bounded<H, A>(address: SocketAddr, gate: gate::Gate, handler: H) -> std::io::Result<()>
where
    H: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let listener = listen(address)?;
    tokio::spawn(accept(listener, Some(gate), Arc::new(handler)));
    Ok(())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<H, A>(listener: TcpListener, gate: Option<gate::Gate>, handler: Arc<H>)
where
    H: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _caller)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, gate.clone(), Arc::clone(&handler)));
    }
}

async fn serve_connection<H, A>(mut stream: TcpStream, gate: Option<gate::Gate>, handler: Arc<H>)
where
    H: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let mut first = None;
    if let Some(gate) = &gate {
        match decide(gate, &stream).await {
            Ok(gate::Decision::Admitted(pass)) => first = Some(pass),
            Ok(gate::Decision::Unbounded) => {}
            Ok(gate::Decision::Refused) => return refuse(&mut stream).await,
            Ok(gate::Decision::Undecided) | Err(_) => return,
        }
    }
    let (gate, first) = (Arc::new(gate), Arc::new(Mutex::new(first)));
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, gate) = (Arc::clone(&handler), Arc::clone(&gate));
        let first = first.lock().take();
        async move {
            let count =
                |gate: &gate::Gate| gate.count(request.method().as_str(), request.uri().path());
            let _counted = first.or_else(|| gate.as_ref().as_ref().and_then(count));
            Ok::<_, Infallible>(answer(&*handler, request).await)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = connection.await {
        spdlog::debug!("http: a connection ended: {cause}");
    }
}

/// Waits for enough bytes of the first call to decide about a connection; they are left unread.
/// [`gate::Decision::Undecided`] means that they did not come in time.
async fn decide(gate: &gate::Gate, stream: &TcpStream) -> std::io::Result<gate::Decision> {
    let mut head = vec![0; gate.prefix_length()];
    let deciding = async {
        let mut length = 0;
        loop {
            let peeked = stream.peek(&mut head).await?;
            if peeked == length {
                // The caller has closed its side, or the rest of a split head is on its way.
                if peeked == 0 {
                    return Ok(gate::Decision::Undecided);
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            length = peeked;
            match gate.decide(&head[..length]) {
                gate::Decision::Undecided => {}
                decided => return Ok(decided),
            }
        }
    };
    let decided = tokio::time::timeout(BODY_TIME, deciding).await;
    decided.unwrap_or(Ok(gate::Decision::Undecided))
}

/// Refuses a connection. What was received is read first, since the system resets a connection
/// that is closed with unread bytes, and the caller would lose the answer.
async fn refuse(stream: &mut TcpStream) {
    const READ_SIZE: usize = 8 << 10;
    let mut unread = [0; READ_SIZE];
    let _received = stream.try_read(&mut unread);
    // An error means that the caller has left.
    let _sent = stream.write_all(gate::REFUSAL).await;
}

async fn answer<H, A>(handler: &H, request: Request<Incoming>) -> Answer
where
    H: Fn(Call) -> A + Send + Sync,
    A: Future<Output = Answer> + Send,
{
    let (head, body) = request.into_parts();
    let reading = Limited::new(body, LARGEST_BODY).collect();
    let body = match tokio::time::timeout(BODY_TIME, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_too_large)) => return empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(_elapsed) => return empty(StatusCode::REQUEST_TIMEOUT),
    };
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        body,
    };
    handler(call).await
}

/// An answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// An answer of plain text.
#[must_use]
pub fn text(body: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let plain = HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    answer
}

/// An answer whose body is JSON already.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// A value of a query; names and zones need no decoding.
#[must_use]
pub fn query<'call>(call: &'call Call, name: &str) -> Option<&'call str> {
    let mut items = call
        .query
        .split('&')
        .filter_map(|item| item.split_once('='));
    items.find(|(key, _)| *key == name).map(|(_, value)| value)
}
