//! One request on its way to an endpoint, over all its sends.

use std::sync::Arc;

use bytes::Bytes;
use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::tally;
use cranberrygap_wire::{method, traffic};
use http::{HeaderMap, Request, Response, Uri};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;

use crate::admission;

use super::failure::Failure;
use super::request::{self, Facts, Resolved};
use super::{Gateway, answer, board, dialect, flight, line, stream};

/// Time that a request takes on its way to an endpoint and its answer back.
const TRANSIT: duration::Span = duration::Span::from_millis(6);

/// Least time that must be left for a send to be an honest try.
const LEAST_LEFT: duration::Span = duration::Span::from_millis(40);

/// Time beyond its deadline for which an answer is awaited. An endpoint that stops
/// at the deadline says so a moment later, and what is ready is still delivered.
const GRACE: duration::Span = duration::Span::from_millis(120);

/// Longest wait for the answer to a request that may be repeated elsewhere. Nearly
/// all answers of the users' services come within half of it.
const IMPATIENCE: duration::Span = duration::Span::from_millis(900);

/// Connections that may fail to open before the request is given up.
const MOST_OPENS: u32 = 3;

/// Largest answer that is held until it is whole, in bytes.
const LARGEST_HELD: usize = 1 << 20;

/// Part of the objective within which the first event must be expected. The rest is
/// for what the prediction does not see: other entries' sends of the last moment.
const IN_TIME: f64 = 0.80;

/// Part of the allowed pause between events that the reading of prompts that wait
/// already may take, by rank. An event takes three steps of the engine, so half of the
/// pause is read in one of them; less urgent requests are refused first.
const SPARED: [f64; 3] = [0.9, 0.8, 0.65];

/// Time that a request waits for a copy of its model that is on its way. A copy
/// from an engine's disk or host memory is there within a second or so.
const COPY_WAIT: duration::Span = duration::Span::from_millis(1_500);

/// Time between two looks for a copy.
const COPY_LOOK: duration::Span = duration::Span::from_millis(30);

/// Time that callers are told when no engine holds their model: a load from the
/// store takes about four seconds, and it may have begun.
const LOAD_WAIT: duration::Span = duration::Span::from_millis(3_200);

/// Longest wait for the leader when an adapter is missing.
const WANT_TIME: duration::Span = duration::Span::from_secs(1);

/// Time that callers are told when an endpoint had no room.
const FULL_WAIT: duration::Span = duration::Span::from_millis(500);

/// One request and what it has been through.
#[derive(Debug)]
pub(crate) struct Course {
    pub(super) gateway: Arc<Gateway>,
    pub(super) facts: Facts,
    resolved: Resolved,
    permit: Option<admission::Permit>,
    tried: board::Tried,
    sends: u32,
    opens: u32,
}

/// Where to send next.
struct Aim {
    place: board::Place,
    fresh: u64,
}

/// The head of an answer and what its body comes over.
pub(super) struct Answered {
    pub(super) response: Response<Incoming>,
    pub(super) line: line::Line,
    pub(super) flight: flight::Flight,
}

/// What came of one send.
enum Sent {
    /// An answer's head, with what it came over.
    Answered(Box<Answered>),
    /// The endpoint did not run it.
    NotRun(dialect::NotRun),
    /// No connection; nothing was sent.
    Unreachable,
    /// It was sent, and no answer came.
    Unknown(&'static str),
}

impl Course {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        facts: Facts,
        resolved: Resolved,
        permit: Option<admission::Permit>,
    ) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            facts,
            resolved,
            permit,
            tried: board::Tried::new(),
            sends: 0,
            opens: 0,
        }
    }

    fn now(&self) -> duration::Instant {
        self.gateway.core.now()
    }

    pub(super) fn deadline(&self) -> duration::Instant {
        self.facts.deadline(&self.resolved.route)
    }

    const fn kind(&self) -> traffic::Kind {
        self.resolved.route.kind
    }

    /// Whether a further run of the request does no harm.
    pub(super) const fn is_repeatable(&self) -> bool {
        matches!(
            self.kind(),
            traffic::Kind::Idempotent | traffic::Kind::Resumable
        )
    }

    const fn is_stream(&self) -> bool {
        matches!(
            self.kind(),
            traffic::Kind::Stream | traffic::Kind::Resumable
        )
    }

    /// Sends until an answer is there or nothing more may be tried.
    pub(super) async fn run(self) -> Result<Response<answer::Body>, Failure> {
        let counted = self.count_demand();
        let core = Arc::clone(&self.gateway.core);
        let outcome = self.attempts().await;
        if let (Some(counted), Err(Failure::NoEndpoint { .. } | Failure::NotRun { .. })) =
            (counted, &outcome)
        {
            let (model, tokens) = counted;
            core.demand.refused(&model, tokens.prompt, tokens.output);
        }
        outcome
    }

    async fn attempts(mut self) -> Result<Response<answer::Body>, Failure> {
        loop {
            let aim = self.aim().await?;
            match self.send(&aim, None).await? {
                Sent::Answered(answered) => {
                    let Answered {
                        response,
                        line,
                        flight,
                    } = *answered;
                    let (head, body) = response.into_parts();
                    let again = head.status.is_server_error() && self.is_repeatable();
                    flight.judge(!head.status.is_server_error());
                    if again && self.may_repeat() {
                        self.discard(body, line).await;
                        continue;
                    }
                    if self.is_stream() && head.status.is_success() {
                        let mut response = Response::new(());
                        *response.status_mut() = head.status;
                        *response.headers_mut() = passed(head.headers);
                        return Ok(stream::relay(self, response, body, line, flight));
                    }
                    match self.hold(head, body, line, flight).await {
                        Ok(response) => return Ok(response),
                        Err(cause) if self.is_repeatable() && self.may_repeat() => {
                            spdlog::debug!("gateway: an answer broke off: {cause}");
                        }
                        Err(cause) => return Err(Failure::Broken(cause)),
                    }
                }
                Sent::NotRun(cause) => self.not_run(&aim, cause)?,
                Sent::Unreachable => {
                    self.opens += 1;
                    if self.opens >= MOST_OPENS {
                        return Err(self.no_endpoint(FULL_WAIT, "unreachable"));
                    }
                }
                Sent::Unknown(cause) => {
                    if !self.is_repeatable() || !self.may_repeat() {
                        return Err(self.broken(cause));
                    }
                }
            }
        }
    }

    /// What is known once a send had no answer.
    fn broken(&self, cause: &'static str) -> Failure {
        if self.now() >= self.deadline() {
            return Failure::TimeOut;
        }
        Failure::Broken(cause)
    }

    /// Whether the request may go to a further endpoint; spends what it costs.
    fn may_repeat(&mut self) -> bool {
        let left = self.deadline().since(self.now());
        self.sends < self.resolved.route.attempts
            && left > LEAST_LEFT
            && self.gateway.reserve.spend(&self.resolved.service)
    }

    fn not_run(&mut self, aim: &Aim, cause: dialect::NotRun) -> Result<(), Failure> {
        if cause == dialect::NotRun::Misdirected {
            self.lacking(aim);
        }
        if self.may_repeat() {
            return Ok(());
        }
        let wait = stream::spread(FULL_WAIT);
        Err(Failure::NotRun { wait })
    }

    /// An endpoint did not have what it was thought to have.
    fn lacking(&self, aim: &Aim) {
        let Some(model) = &self.facts.ask.model else {
            return;
        };
        let core = &self.gateway.core;
        let adapter = self.facts.ask.adapter.as_ref();
        core.board.lacks(&aim.place, model, adapter);
        let Some(adapter) = adapter else {
            return;
        };
        let want = self.want(model, adapter, &aim.place.endpoint, true);
        let core = Arc::clone(core);
        tokio::spawn(async move {
            // The leader learns it by the next request if this is lost.
            let told: Result<traffic::Placed, _> = core
                .leader
                .call(method::ADAPTER_WANT, &want, WANT_TIME)
                .await;
            if let Err(cause) = told {
                spdlog::debug!("gateway: the leader was not told of a missing adapter: {cause}");
            }
        });
    }

    fn no_endpoint(&self, wait: duration::Span, cause: &'static str) -> Failure {
        let wait = stream::spread(wait);
        if self.sends == 0 {
            return Failure::NoEndpoint { wait, cause };
        }
        Failure::NotRun { wait }
    }

    /// Tells the leader that the request's model is wanted.
    fn count_demand(&self) -> Option<(id::Model, dialect::Tokens)> {
        let model = self.facts.ask.model.clone()?;
        if !self.resolved.has_engine {
            return None;
        }
        let adapter = self.facts.ask.adapter.as_ref();
        let tokens = self.facts.ask.tokens.unwrap_or_default();
        let demand = &self.gateway.core.demand;
        demand.asked(&model, adapter, tokens.prompt, tokens.output);
        Some((model, tokens))
    }

    /// Where to send next.
    async fn aim(&mut self) -> Result<Aim, Failure> {
        let view = request::serving_view(&self.gateway)?;
        // The plan may have changed while the request waited; the one in force when
        // it is sent decides.
        self.resolved = self.facts.resolve(&view)?;
        drop(view);
        let left = self.deadline().since(self.now());
        if left <= LEAST_LEFT {
            return Err(self.no_endpoint(FULL_WAIT, "out of time"));
        }
        match self.facts.ask.model.clone() {
            Some(model) if self.resolved.has_engine => self.aim_at_engine(&model).await,
            _ => self.aim_at_service(),
        }
    }

    fn aim_at_service(&self) -> Result<Aim, Failure> {
        let now = self.now();
        let board = &self.gateway.core.board;
        let place = board.plain(now, &self.resolved.service, &self.tried);
        let place = place.ok_or_else(|| self.no_endpoint(FULL_WAIT, "no endpoint is ready"))?;
        Ok(Aim { place, fresh: 0 })
    }

    async fn aim_at_engine(&mut self, model: &id::Model) -> Result<Aim, Failure> {
        let seat = self.seat(model).await?;
        self.admit(&seat)?;
        let adapter = self.facts.ask.adapter.clone();
        let place = match adapter.filter(|_| !seat.ready) {
            Some(adapter) => self.fetch(model, &adapter, &seat.place).await?,
            None => seat.place,
        };
        Ok(Aim {
            place,
            fresh: seat.fresh,
        })
    }

    /// The best engine that holds the model; waits a moment for one.
    async fn seat(&self, model: &id::Model) -> Result<board::Seat, Failure> {
        let board = &self.gateway.core.board;
        let until = self.facts.arrived.after(COPY_WAIT).min(self.deadline());
        loop {
            let now = self.now();
            let query = board::Query {
                service: &self.resolved.service,
                model,
                adapter: self.facts.ask.adapter.as_ref(),
                chain: &self.facts.chain,
                rank: self.resolved.rank(),
                prompt: self.prompt(),
                tried: &self.tried,
            };
            if let Some(seat) = board.seat(now, &query) {
                return Ok(seat);
            }
            let hopeless = !self.tried.is_empty() || !board.serves(&self.resolved.service);
            if hopeless || now >= until {
                return Err(self.no_endpoint(LOAD_WAIT, "no engine holds the model"));
            }
            tokio::time::sleep(COPY_LOOK.to_std()).await;
        }
    }

    fn prompt(&self) -> u64 {
        let tokens = self.facts.ask.tokens;
        tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Refuses at once what would come too late: it would only make those late that
    /// come after it.
    fn admit(&self, seat: &board::Seat) -> Result<(), Failure> {
        let objective = self.resolved.route.objective;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a positive number"
        )]
        let limit = duration::Span((objective.0 as f64 * IN_TIME) as u64);
        let waited = self.now().since(self.facts.arrived);
        // What has waited for a copy is late already; it is served if its engine
        // is not overloaded.
        let limit = if waited > limit {
            limit
        } else {
            duration::Span(limit.0 - waited.0)
        };
        if seat.first_event > limit {
            let over = duration::Span(seat.first_event.0 - limit.0);
            return Err(self.no_endpoint(over.max(FULL_WAIT), "the first event would be late"));
        }
        self.spare_streams(seat)
    }

    /// Refuses what would make the streams that run at the engine pause too long.
    ///
    /// An engine reads prompts between the tokens of its streams. While prompts never
    /// run out, each token waits for a part of them, and an event holds several
    /// tokens: one sees every stream of that engine late, and streams that take many
    /// times as long as usual, until their callers give up.
    fn spare_streams(&self, seat: &board::Seat) -> Result<(), Failure> {
        let Some(pause) = self.resolved.route.pause else {
            return Ok(());
        };
        let reading = tally::reading(seat.backlog);
        let part = SPARED[self.resolved.rank().min(SPARED.len() - 1)];
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a positive number"
        )]
        let most = duration::Span((pause.0 as f64 * part) as u64);
        if reading <= most {
            return Ok(());
        }
        let over = duration::Span(reading.0 - most.0);
        Err(self.no_endpoint(over.max(FULL_WAIT), "the engine's streams would pause"))
    }

    fn want(
        &self,
        model: &id::Model,
        adapter: &SmolStr,
        endpoint: &id::Endpoint,
        missing: bool,
    ) -> traffic::Want {
        traffic::Want {
            service: self.resolved.service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            endpoint: endpoint.clone(),
            expires: missing,
        }
    }

    /// Has the leader load an adapter, best at the engine that was chosen.
    async fn fetch(
        &self,
        model: &id::Model,
        adapter: &SmolStr,
        wished: &board::Place,
    ) -> Result<board::Place, Failure> {
        let core = &self.gateway.core;
        let want = self.want(model, adapter, &wished.endpoint, false);
        let placed: Result<traffic::Placed, _> = core
            .leader
            .call(method::ADAPTER_WANT, &want, WANT_TIME)
            .await;
        let endpoint = match placed {
            Ok(placed) => placed.endpoint,
            Err(cause) => {
                spdlog::info!("gateway: the leader gives no adapter {model}/{adapter}: {cause}");
                None
            }
        };
        let place = endpoint.and_then(|endpoint| core.board.place(&endpoint, model));
        let place = place.ok_or_else(|| self.no_endpoint(FULL_WAIT, "the adapter is not there"))?;
        core.board.has(&place, model, adapter);
        Ok(place)
    }

    /// One send, from the connection to the head of the answer.
    async fn send(&mut self, aim: &Aim, last_event: Option<&str>) -> Result<Sent, Failure> {
        let careful = !matches!(self.kind(), traffic::Kind::Idempotent);
        let opened = self.gateway.pool.take(aim.place.address, careful).await;
        let Ok(mut line) = opened else {
            let core = &self.gateway.core;
            core.board.unreachable(core.now(), &aim.place);
            return Ok(Sent::Unreachable);
        };
        loop {
            // Opening may have taken long. What is in force now decides whether it
            // may still be sent.
            let view = request::serving_view(&self.gateway)?;
            self.resolved = self.facts.resolve(&view)?;
            drop(view);
            let left = self.deadline().since(self.now());
            if left <= LEAST_LEFT {
                return Err(self.no_endpoint(FULL_WAIT, "out of time"));
            }
            let request = self.request(aim, duration::Span(left.0 - TRANSIT.0), last_event)?;
            match self.exchange(aim, line, request, left).await {
                // The endpoint closed an idle connection; nothing of it arrived.
                Exchange::NotSent { reused: true } => {
                    match line::Line::open(aim.place.address).await {
                        Ok(fresh) => line = fresh,
                        Err(_refused) => return Ok(Sent::Unreachable),
                    }
                }
                Exchange::NotSent { reused: false } => return Ok(Sent::Unreachable),
                Exchange::Done(sent) => return Ok(sent),
            }
        }
    }

    async fn exchange(
        &mut self,
        aim: &Aim,
        mut line: line::Line,
        request: Request<Full<Bytes>>,
        left: duration::Span,
    ) -> Exchange {
        let core = Arc::clone(&self.gateway.core);
        let chain = self.facts.ask.model.is_some().then_some(&self.facts.chain);
        let rank = self.resolved.rank();
        let flight = flight::Flight::new(&core, &aim.place, rank, aim.fresh, chain);
        let mut patience = left.0 + GRACE.0;
        if self.kind() == traffic::Kind::Idempotent && self.sends + 1 < self.resolved.route.attempts
        {
            patience = patience.min(IMPATIENCE.0);
        }
        let patience = duration::Span(patience).to_std();
        let reused = line.is_reused();
        let answered = tokio::time::timeout(patience, line.send(request)).await;
        if matches!(answered, Ok(Err(line::Lost::NotSent))) {
            return Exchange::NotSent { reused };
        }
        self.sends += 1;
        self.tried.push(aim.place.endpoint.clone());
        let response = match answered {
            Ok(Ok(response)) => {
                line.note_idle_time(response.headers());
                response
            }
            Ok(Err(_lost)) => {
                flight.judge(false);
                self.use_permit();
                return Exchange::Done(Sent::Unknown("the connection ended without an answer"));
            }
            Err(_elapsed) => {
                flight.judge(false);
                self.use_permit();
                return Exchange::Done(Sent::Unknown("no answer in time"));
            }
        };
        let id = self.facts.ask.id.as_deref();
        let judged = self
            .gateway
            .dialect
            .judge(id, response.status(), response.headers());
        Exchange::Done(match judged {
            dialect::Judgement::Answer => {
                self.use_permit();
                Sent::Answered(Box::new(Answered {
                    response,
                    line,
                    flight,
                }))
            }
            dialect::Judgement::NotRun(cause) => {
                flight.judge(cause != dialect::NotRun::Full);
                drop(flight);
                self.discard(response.into_body(), line).await;
                Sent::NotRun(cause)
            }
            dialect::Judgement::Foreign => {
                flight.judge(false);
                self.use_permit();
                Sent::Unknown("an answer to another request came")
            }
        })
    }

    fn use_permit(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.use_all();
        }
    }

    fn request(
        &self,
        aim: &Aim,
        left: duration::Span,
        last_event: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut headers = self.facts.headers.clone();
        let payer = self.resolved.workspace.as_ref();
        let told = dialect::Told {
            endpoint: &aim.place.endpoint,
            workspace: payer.map(|payer| &payer.name),
            left,
            priority: self.resolved.priority(),
            last_event,
        };
        self.gateway.dialect.write(&mut headers, &told);
        let mut request = Request::new(Full::new(Bytes::clone(&self.facts.body)));
        *request.method_mut() = self.facts.method.clone();
        let uri = Uri::try_from(self.facts.target.as_str());
        *request.uri_mut() = uri.map_err(|cause| Failure::Malformed(cause.to_string().into()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads an answer to its end before a byte goes out, so that a cut one is a
    /// failure and not a shorter answer.
    async fn hold(
        &self,
        head: http::response::Parts,
        body: Incoming,
        line: line::Line,
        mut flight: flight::Flight,
    ) -> Result<Response<answer::Body>, &'static str> {
        let patience = duration::Span(self.deadline().since(self.now()).0 + GRACE.0);
        let collecting = Limited::new(body, LARGEST_HELD).collect();
        let collected = tokio::time::timeout(patience.to_std(), collecting).await;
        let whole = match collected {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(_broken)) => {
                flight.judge(false);
                return Err("the answer broke off");
            }
            Err(_elapsed) => return Err("the answer did not end in time"),
        };
        flight.read();
        self.gateway.pool.put(line);
        let mut response = Response::new(answer::whole(whole));
        *response.status_mut() = head.status;
        *response.headers_mut() = passed(head.headers);
        Ok(response)
    }

    /// Reads a small body that nobody wants, so that its connection can be kept.
    async fn discard(&self, body: Incoming, line: line::Line) {
        const SMALL: usize = 16 << 10;
        const AT_ONCE: std::time::Duration = std::time::Duration::from_millis(20);
        let reading = Limited::new(body, SMALL).collect();
        if let Ok(Ok(_whole)) = tokio::time::timeout(AT_ONCE, reading).await {
            self.gateway.pool.put(line);
        }
    }

    /// Has another engine go on with a stream behind `last_event`.
    pub(super) async fn resume(&mut self, last_event: Option<&str>) -> Option<Answered> {
        if !self.is_repeatable() || !self.may_repeat() {
            return None;
        }
        let aim = self.aim().await.ok()?;
        match self.send(&aim, last_event).await.ok()? {
            Sent::Answered(answered) if answered.response.status().is_success() => Some(*answered),
            _ => None,
        }
    }

    /// The id of the request for the log.
    pub(super) fn id(&self) -> &str {
        self.facts.ask.id.as_deref().unwrap_or("-")
    }
}

/// What came of using one connection.
enum Exchange {
    /// Nothing was written; tells whether the connection had been used before.
    NotSent {
        reused: bool,
    },
    Done(Sent),
}

/// Headers of an endpoint's answer that the caller gets.
fn passed(mut headers: HeaderMap) -> HeaderMap {
    answer::strip_hop_by_hop(&mut headers);
    headers
}
