//! Where a request is sent next, or why it is refused.

use std::sync::Arc;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::latency;
use cranberrygap_wire::{method, traffic};
use smol_str::SmolStr;

use super::{Delivery, FULL_WAIT, Failure, LEAST_LEFT, endpoints};
use crate::gateway::{flight, request};

/// Part of the objective within which the first event must be expected. The rest is
/// for what the prediction does not see: other entries' sends of the last moment.
const IN_TIME: f64 = 0.80;

/// Part of the allowed pause that the reading of prompts that wait already may take, by
/// rank; less urgent requests wait first.
const SPARED: [f64; 3] = [0.81, 0.72, 0.59];

/// Part of the allowed pause that the steps of an event and the reading of all prompts
/// may take which are sent to an engine within it, by rank.
///
/// An engine that reads for a part `f` of its time makes its streams `1 / (1 - f)` times
/// as long. At 0.81 of the time, which the first of these leaves on engines with events of
/// 24 ms, a stream takes five times as long, at 0.89 nine times: one sees hundreds of them
/// end at their callers' deadline, their whole work lost.
const TAKEN: [f64; 3] = [0.89, 0.85, 0.80];

/// Time that a request waits for a copy of its model though none may come in time: a
/// copy from an engine's disk or host memory is there within a second or so.
const COPY_WAIT: duration::Span = duration::Span::from_millis(1_500);

/// Part of the objective, one in so many, for which a request waits for an engine
/// that is not overloaded, and the longest such wait. Bursts of a few requests pass
/// within it; a refusal would make each of them late.
const FREE_PART: u64 = 2;
const FREE_WAIT: duration::Span = duration::Span::from_millis(420);

/// Time between two looks for such an engine.
const FREE_LOOK: duration::Span = duration::Span::from_millis(15);

/// Longest time for which a request waits for an engine that will serve it late. Callers
/// leave after 2.4 s to 3.2 s without a sign; of the longer waits many end with a prompt
/// that is read for nobody.
const LATE_WAIT: duration::Span = duration::Span::from_millis(1_500);

/// Time between its looks; those that can still be in time look more often.
const LATE_LOOK: duration::Span = duration::Span::from_millis(40);

/// Part of the allowed pause that prompts may take for a request that is late already,
/// so that those in time go first.
const TAKEN_LATE: f64 = 0.71;

/// Part of an engine's batch, one in so many, that late requests leave to those in time.
///
/// Under load each place that falls free has somebody waiting. Where late requests could
/// take every one, and crowd the batch beyond, those that came after them were late as
/// well: of 4,987 streams on a heavy day 1,449 were in time, where 2,081 were before late
/// ones waited for seconds.
const KEPT_PART: u32 = 4;

/// Objectives for which a large prompt waits before it goes beside a full room.
///
/// A prompt that needs most of the room finds it free only when nobody else sends for a
/// while; with others waiting one saw a third of the largest tenth served where three in
/// four of all were. After half an objective it counts less and less what was sent, and
/// after one and a half it goes, at the price of one pause.
const LARGE_AFTER: f64 = 0.5;

/// Time kept of a caller's patience for the way of a request and its answer.
const MARGIN: duration::Span = duration::Span::from_millis(150);

/// Time beyond that of a load from the store that a copy takes to be there: what it
/// takes the place of has to go first.
const MAKE_ROOM: duration::Span = duration::Span::from_millis(1_500);

/// Time between two looks for a copy.
const COPY_LOOK: duration::Span = duration::Span::from_millis(30);

/// Longest wait for the leader when an adapter is missing.
const WANT_TIME: duration::Span = duration::Span::from_millis(600);

/// Where to send next.
#[derive(Debug)]
pub(in crate::gateway) struct Aim {
    pub(in crate::gateway) place: endpoints::Place,
    /// Time that the engine takes to read the prompt.
    pub(in crate::gateway) reading: duration::Span,
    pub(in crate::gateway) lesson: Option<flight::Lesson>,
}

impl Delivery {
    /// An endpoint did not have what it was thought to have.
    pub(super) fn lacking(&self, aim: &Aim) {
        let Some(model) = &self.facts.ask.model else {
            return;
        };
        let core = &self.gateway.core;
        let adapter = self.facts.ask.adapter.as_ref();
        core.endpoints.lacks(&aim.place, model, adapter);
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

    /// Where to send next.
    pub(super) async fn aim(&mut self) -> Result<Aim, Failure> {
        let view = request::serving_view(&self.gateway)?;
        // The plan may have changed while the request waited; the one in force when
        // it is sent decides.
        self.resolved = self.facts.resolve(&view)?;
        self.story.plan = self.resolved.plan;
        self.story.revision = view.revision().0;
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
        let endpoints = &self.gateway.core.endpoints;
        let place = endpoints.plain(now, &self.resolved.service, &self.tried);
        let place = place.ok_or_else(|| self.no_endpoint(FULL_WAIT, "no endpoint is ready"))?;
        Ok(Aim {
            place,
            reading: duration::Span(0),
            lesson: None,
        })
    }

    async fn aim_at_engine(&mut self, model: &id::Model) -> Result<Aim, Failure> {
        let seat = self.free_seat(model).await?;
        self.tell_seat(&seat);
        let adapter = self.facts.ask.adapter.clone();
        let place = match adapter.filter(|_| !seat.ready) {
            Some(adapter) => self.fetch(model, &adapter, &seat.place).await?,
            None => seat.place.clone(),
        };
        if place != seat.place {
            self.claim(&place, seat.reading);
        }
        Ok(Aim {
            place,
            reading: seat.reading,
            lesson: Some(self.lesson(model, &seat)),
        })
    }

    fn lesson(&self, model: &id::Model, seat: &endpoints::Seat) -> flight::Lesson {
        flight::Lesson {
            service: self.resolved.service.clone(),
            model: model.clone(),
            before: seat.before,
            fresh: seat.fresh,
            output: self.output(),
            free: seat.ready && seat.running < self.resolved.slots,
        }
    }

    /// The best engine that can take the request; waits a moment for one.
    async fn free_seat(&mut self, model: &id::Model) -> Result<endpoints::Seat, Failure> {
        let objective = self.resolved.route.objective;
        let wait = duration::Span(objective.0 / FREE_PART).min(FREE_WAIT);
        let until = self.facts.arrived.after(wait);
        let end = self.facts.arrived.after(LATE_WAIT);
        let end = end.min(self.last_start(model));
        let mut waits_for = "";
        loop {
            let late = self.now() >= until;
            let seat = self.seat(model, late).await?;
            let Err(failure) = self.admit(&seat, late) else {
                self.claim(&seat.place, seat.reading);
                return Ok(seat);
            };
            if failure.cause() != waits_for {
                self.tell_wait(&seat, &failure);
                waits_for = failure.static_cause();
            }
            if self.now() >= end {
                self.tell_seat(&seat);
                return Err(failure);
            }
            let look = if late { LATE_LOOK } else { FREE_LOOK };
            tokio::time::sleep(look.to_std()).await;
        }
    }

    /// The last moment at which an engine must get the request, for its caller to see the
    /// first event before it leaves and the whole answer in time.
    fn last_start(&self, model: &id::Model) -> duration::Instant {
        let pace = self.pace(model);
        let first = pace.prefill_time(self.prompt()).0 + pace.event_interval().0 + MARGIN.0;
        let whole = first + pace.answer_time(self.output()).0;
        let sign = self.facts.silence_ends(&self.resolved.route).0;
        let first = sign.saturating_sub(first);
        let whole = self.deadline().0.saturating_sub(whole);
        duration::Instant(first.min(whole))
    }

    fn pace(&self, model: &id::Model) -> latency::Estimate {
        let endpoints = &self.gateway.core.endpoints;
        endpoints.pace(&self.resolved.service, model)
    }

    /// Counts the prompt at an engine before anybody else looks at it.
    fn claim(&self, place: &endpoints::Place, reading: duration::Span) {
        let (now, rank) = (self.now(), self.resolved.rank());
        let endpoints = &self.gateway.core.endpoints;
        endpoints.claim(now, place, rank, reading);
    }

    fn tell_wait(&mut self, seat: &endpoints::Seat, failure: &Failure) {
        let now = self.now();
        let endpoint = &seat.place.endpoint;
        let (running, cause) = (seat.running, failure.cause());
        self.story.step(
            now,
            format_args!("waits at {endpoint}, where {running} run: {cause}"),
        );
    }

    fn tell_seat(&mut self, seat: &endpoints::Seat) {
        let now = self.now();
        self.story.step(
            now,
            format_args!(
                "chooses {}, {}ms of prompts wait there, {} tokens to read, first event in {}ms, adapter {}",
                seat.place.endpoint,
                seat.backlog.0 / 1_000,
                seat.fresh,
                seat.first_event.0 / 1_000,
                if seat.ready { "there" } else { "missing" },
            ),
        );
    }

    /// The best engine that holds the model; waits a moment for one.
    async fn seat(&self, model: &id::Model, late: bool) -> Result<endpoints::Seat, Failure> {
        let endpoints = &self.gateway.core.endpoints;
        let begun = self.now();
        if let Some(seat) = endpoints.seat(begun, &self.query(model, false, late)) {
            return Ok(seat);
        }
        let last = self.last_start(model);
        let copy = begun.after(self.load_time(model)).after(MAKE_ROOM);
        // Whoever has time for a load waits for it; others for a copy that is near.
        let until = if copy <= last {
            copy.after(MAKE_ROOM).min(last)
        } else {
            self.facts.arrived.after(COPY_WAIT).min(last)
        };
        loop {
            let now = self.now();
            let hopeless = !self.tried.is_empty() || !endpoints.serves(&self.resolved.service);
            if hopeless || now >= until {
                let wait = copy.since(now).max(FULL_WAIT);
                return Err(self.no_endpoint(wait, "no engine holds the model"));
            }
            tokio::time::sleep(COPY_LOOK.to_std()).await;
            let query = self.query(model, false, late);
            if let Some(seat) = endpoints.seat(self.now(), &query) {
                return Ok(seat);
            }
        }
    }

    /// Time of a load of the model from the store, by the plan in force.
    fn load_time(&self, model: &id::Model) -> duration::Span {
        let view = self.gateway.core.view.latest();
        let table = view.as_ref().and_then(|view| view.traffic());
        let service = table.and_then(|table| table.service(&self.resolved.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let models = engine.into_iter().flat_map(|engine| &engine.models);
        let known = models.into_iter().find(|known| known.model == *model);
        known.map_or(duration::Span(0), |known| known.load)
    }

    fn query<'request>(
        &'request self,
        model: &'request id::Model,
        only_ready: bool,
        late: bool,
    ) -> endpoints::Query<'request> {
        let pace = self.pace(model);
        endpoints::Query {
            service: &self.resolved.service,
            model,
            adapter: self.facts.ask.adapter.as_ref(),
            chain: &self.facts.chain,
            rank: self.resolved.rank(),
            prompt: self.prompt(),
            room: self.room(&pace, late),
            grace: self.grace(),
            pace,
            slots: self.resolved.slots,
            tried: &self.tried,
            only_ready,
        }
    }

    /// Reading that an engine may get within the pause that its streams allow.
    fn room(&self, pace: &latency::Estimate, late: bool) -> duration::Span {
        const ANY: duration::Span = duration::Span(u64::MAX);
        let rank = self.resolved.rank().min(TAKEN.len() - 1);
        let part = if late { TAKEN_LATE } else { TAKEN[rank] };
        let event = pace.event_interval();
        self.resolved.route.pause.map_or(ANY, |pause| {
            duration::Span(pause.scaled(part).0.saturating_sub(event.0))
        })
    }

    /// Reading beside which a large prompt may go that has waited for long.
    fn grace(&self) -> duration::Span {
        let waited = self.now().since(self.facts.arrived).as_secs_f64();
        let objectives = waited / self.resolved.route.objective.as_secs_f64().max(0.001);
        let pause = self.resolved.route.pause.unwrap_or_default();
        pause.scaled((objectives - LARGE_AFTER).clamp(0.0, 1.0))
    }

    fn prompt(&self) -> u64 {
        let tokens = self.facts.ask.tokens;
        tokens.map_or(0, |tokens| tokens.prompt)
    }

    fn output(&self) -> u64 {
        let tokens = self.facts.ask.tokens;
        tokens.map_or(0, |tokens| tokens.output)
    }

    /// Refuses what would come too late at this engine: it would only make those late
    /// that come after it.
    fn admit(&self, seat: &endpoints::Seat, late: bool) -> Result<(), Failure> {
        let objective = self.resolved.route.objective;
        let limit = objective.scaled(IN_TIME);
        let waited = self.now().since(self.facts.arrived);
        // What has waited for a copy is late already; it is served if its engine
        // is not overloaded.
        let limit = if waited > limit {
            limit
        } else {
            duration::Span(limit.0 - waited.0)
        };
        if seat.first_event > limit && !late {
            let over = duration::Span(seat.first_event.0 - limit.0);
            return Err(self.no_endpoint(over.max(FULL_WAIT), "the first event would be late"));
        }
        let slots = self.resolved.slots;
        if late && slots > 0 && seat.running >= slots - slots / KEPT_PART {
            return Err(self.no_endpoint(FULL_WAIT, "the engine's batch is full"));
        }
        self.spare_streams(seat)
    }

    /// Refuses what would make the streams that run at the engine pause too long.
    ///
    /// An engine reads prompts between the tokens of its streams. While prompts never
    /// run out, each token waits for a part of them, and an event holds several
    /// tokens: one sees every stream of that engine late, and streams that take many
    /// times as long as usual, until their callers give up.
    fn spare_streams(&self, seat: &endpoints::Seat) -> Result<(), Failure> {
        let Some(pause) = self.resolved.route.pause else {
            return Ok(());
        };
        let reading = seat.backlog;
        let part = SPARED[self.resolved.rank().min(SPARED.len() - 1)];
        let most = pause.scaled(part);
        if reading <= most && seat.fits {
            return Ok(());
        }
        let over = duration::Span(reading.0.saturating_sub(most.0));
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
        wished: &endpoints::Place,
    ) -> Result<endpoints::Place, Failure> {
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
        if let Some(place) = endpoint.and_then(|endpoint| core.endpoints.place(&endpoint, model)) {
            core.endpoints.has(&place, model, adapter);
            return Ok(place);
        }
        // Without a leader, an engine that has the adapter serves it, if later.
        let held = core
            .endpoints
            .seat(core.now(), &self.query(model, true, false));
        let seat = held.ok_or_else(|| self.no_endpoint(FULL_WAIT, "the adapter is not there"))?;
        self.admit(&seat, false)?;
        Ok(seat.place)
    }
}
