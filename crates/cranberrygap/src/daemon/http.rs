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
use tokio::net::{TcpListener, TcpSocket};

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
    tokio::spawn(accept(listener, Arc::new(handler)));
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

async fn accept<H, A>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _caller)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { Ok::<_, Infallible>(answer(&*handler, request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(cause) = connection.await {
                spdlog::debug!("http: a connection ended: {cause}");
            }
        });
    }
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
