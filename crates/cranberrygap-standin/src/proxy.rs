//! A TCP proxy that does to connections what networks do.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cranberrygap_model::address;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Largest piece that is forwarded at once.
const PIECE: usize = 16 * 1024;
/// Pieces on their way; beyond that the sender waits.
const PIECES: usize = 256;

/// Which bytes a blackhole takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Those towards the target.
    ToTarget,
    /// Those towards the client.
    ToClient,
    /// All.
    Both,
}

/// What the proxy does with bytes now.
#[derive(Debug, Clone, Copy, Default)]
struct Rules {
    delay: Duration,
    to_target_lost: bool,
    to_client_lost: bool,
    /// Connections numbered below this carry nothing any more but stay open.
    silent_below: u64,
    /// Connections numbered below this are reset.
    reset_below: u64,
    /// Bytes towards the client after which a connection is cut.
    cut_after: Option<u64>,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    address: address::Socket,
    rules: watch::Sender<Rules>,
    accepted: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts to forward connections from the address to the target.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(address: address::Socket, target: address::Socket) -> io::Result<Self> {
        let listener = TcpListener::bind(address.0).await?;
        let address = address::Socket(listener.local_addr()?);
        let rules = watch::Sender::new(Rules::default());
        let accepted = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(
            listener,
            target.0,
            rules.clone(),
            Arc::clone(&accepted),
        ));
        Ok(Self {
            address,
            rules,
            accepted,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> address::Socket {
        self.address
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// Holds each byte back by so long, each way.
    pub fn delay(&self, time: Duration) {
        self.rules.send_modify(|rules| rules.delay = time);
    }

    /// Takes all bytes of a direction on all connections, old and new.
    pub fn blackhole(&self, direction: Direction) {
        self.rules.send_modify(|rules| {
            rules.to_target_lost |= direction != Direction::ToClient;
            rules.to_client_lost |= direction != Direction::ToTarget;
        });
    }

    /// Open connections carry nothing any more but stay open; new ones work.
    pub fn silence_open(&self) {
        let next = self.accepted();
        self.rules.send_modify(|rules| rules.silent_below = next);
    }

    /// Resets all open connections; new ones work.
    pub fn reset_open(&self) {
        let next = self.accepted();
        self.rules.send_modify(|rules| rules.reset_below = next);
    }

    /// Cuts each connection after so many bytes towards the client.
    pub fn cut_after(&self, bytes: u64) {
        self.rules
            .send_modify(|rules| rules.cut_after = Some(bytes));
    }

    /// Forwards everything again; what was silenced stays silent.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            *rules = Rules {
                silent_below: rules.silent_below,
                reset_below: rules.reset_below,
                ..Rules::default()
            };
        });
    }

    /// Ends the proxy and its connections.
    pub async fn stop(mut self) {
        self.task.abort();
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    rules: watch::Sender<Rules>,
    accepted: Arc<AtomicU64>,
) {
    // Dropping the set with this task ends all connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let number = accepted.fetch_add(1, Ordering::SeqCst);
        connections.spawn(forward(client, target, number, rules.subscribe()));
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    number: u64,
    mut rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.split();
    let (from_server, to_server) = server.split();
    let pump = |way| Pump {
        number,
        way,
        rules: rules.clone(),
    };
    let up = pump(Direction::ToTarget).run(from_client, to_server);
    let down = pump(Direction::ToClient).run(from_server, to_client);
    let reset = tokio::select! {
        _ended = async { tokio::try_join!(up, down) } => false,
        _rule = rules.wait_for(|rules| number < rules.reset_below) => true,
    };
    if reset {
        client.set_zero_linger()?;
        server.set_zero_linger()?;
    }
    Ok(())
}

/// The rule said to cut this connection here.
#[derive(Debug)]
struct Cut;

/// Forwards one direction of one connection.
struct Pump {
    number: u64,
    way: Direction,
    rules: watch::Receiver<Rules>,
}

impl Pump {
    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Cut> {
        let (pieces, queue) = mpsc::channel(PIECES);
        let (ended, ()) = tokio::join!(self.read(from, pieces), write(to, queue));
        ended
    }

    async fn read(
        self,
        mut from: ReadHalf<'_>,
        pieces: mpsc::Sender<(Instant, Bytes)>,
    ) -> Result<(), Cut> {
        let mut passed = 0_u64;
        let mut buffer = vec![0_u8; PIECE];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => {
                    self.ended().await;
                    return Ok(());
                }
                Ok(count) => count,
            };
            let rules = *self.rules.borrow();
            if self.loses(&rules) {
                continue;
            }
            let left = self.left(&rules, passed);
            let kept = usize::try_from(left).unwrap_or(usize::MAX).min(count);
            passed += kept as u64;
            let piece = Bytes::copy_from_slice(&buffer[..kept]);
            let due = Instant::now() + rules.delay;
            if pieces.send((due, piece)).await.is_err() {
                return Ok(());
            }
            if kept < count {
                return Err(Cut);
            }
        }
    }

    /// The end of a stream that was lost is lost as well.
    async fn ended(&self) {
        let mut rules = self.rules.clone();
        let lost = self.loses(&rules.borrow());
        if lost {
            let _healed = rules.wait_for(|rules| !self.loses(rules)).await;
        }
    }

    fn loses(&self, rules: &Rules) -> bool {
        let lost = match self.way {
            Direction::ToTarget => rules.to_target_lost,
            Direction::ToClient => rules.to_client_lost,
            Direction::Both => rules.to_target_lost && rules.to_client_lost,
        };
        lost || self.number < rules.silent_below
    }

    fn left(&self, rules: &Rules, passed: u64) -> u64 {
        match rules.cut_after {
            Some(limit) if self.way == Direction::ToClient => limit.saturating_sub(passed),
            _ => u64::MAX,
        }
    }
}

async fn write(mut to: WriteHalf<'_>, mut queue: mpsc::Receiver<(Instant, Bytes)>) {
    while let Some((due, piece)) = queue.recv().await {
        tokio::time::sleep_until(due).await;
        if to.write_all(&piece).await.is_err() {
            return;
        }
    }
    // An error here means that the other side has closed already.
    let _closed = to.shutdown().await;
}
