//! Orders to the engines of the own zone.
//!
//! Every entry instance of a region requests the issuer lease from its home group; the one that
//! holds the lease plans and sends orders. An instance knows only the engines of its own zone, so
//! engines in other zones of the region get no orders while it holds the lease.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use medlarlug_core::{
    announcement::{Announcement, UpstreamKind},
    home::{Action, Owner, Reply},
    orders::{Effect, Event, Issuer, Order, Planner, Task, Timing},
    time::Time,
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    task,
    time::interval,
};

use crate::{
    coordination::{calls, entry::Entry},
    transport::body,
    transport::http_client::{CallLimits, HttpCallError, Reuse},
};

/// Time between two runs of the planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which an answered order counts as in effect although no announcement shows it yet.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(5);

/// Time for the home group to answer a request for the lease.
const LEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-outs of sending one order; their sum is below [`Timing::delivery_time`].
const ORDER_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(1), head: Duration::from_secs(3) };

/// Issues orders until the instance begins to shut down.
pub async fn run(entry: Rc<Entry>) {
    let (events, incoming) = unbounded_channel();
    let issuer = Issuer::new(Timing::default());
    let planner = Planner::new(entry.node.region.clone());
    let dispatcher = OrderDispatcher { entry, issuer, planner, events, answered: Vec::new() };
    dispatcher.run(incoming).await;
}

struct OrderDispatcher {
    entry: Rc<Entry>,
    issuer: Issuer,
    planner: Planner,
    events: UnboundedSender<Event>,
    // Tasks of answered orders, each with the time of the answer.
    answered: Vec<(Task, Time)>,
}

impl OrderDispatcher {
    async fn run(mut self, mut incoming: UnboundedReceiver<Event>) {
        let mut plan_ticks = interval(PLAN_INTERVAL);
        loop {
            tokio::select! {
                _ = plan_ticks.tick() => {
                    if self.entry.intake.is_leaving() {
                        return;
                    }
                    self.request_tasks();
                    self.handle(Event::Tick);
                }
                Some(event) = incoming.recv() => {
                    self.record_answered(&event);
                    self.handle(event);
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.issuer.handle(self.entry.node.now(), event, &mut effects);
        effects.into_iter().for_each(|it| self.carry_out(it));
    }

    /// Plans, and passes the resulting tasks to the issuer; does nothing without the lease.
    fn request_tasks(&mut self) {
        let node = self.entry.node.clone();
        let now = node.now();
        self.answered.retain(|(_, at)| now - *at < ANNOUNCEMENT_LAG);
        let Some(configuration) = node.configuration() else { return };
        if self.issuer.term(now).is_none() {
            return;
        }
        let engines = self.engines(now);
        let unanswered = self.issuer.in_flight_orders().map(|it| &it.task);
        let answered = self.answered.iter().map(|it| &it.0);
        let in_flight: Vec<Task> =
            answered.chain(unanswered).chain(self.issuer.waiting_tasks()).cloned().collect();
        for task in self.planner.plan(&configuration, &engines, &in_flight) {
            let engine = engines.iter().find(|it| it.id == task.upstream);
            let fencing = engine.is_some_and(|it| it.fencing);
            self.handle(Event::Requested { task, fencing });
        }
    }

    fn engines(&self, now: Time) -> Vec<Announcement> {
        let members = self.entry.node.members.borrow();
        let announcements = members.upstreams(now).map(|it| &it.announcement);
        announcements.filter(|it| matches!(it.kind, UpstreamKind::Engine { .. })).cloned().collect()
    }

    fn record_answered(&mut self, event: &Event) {
        let Event::Answered { upstream, fence } = event else { return };
        let is_answered = |it: &&Order| it.task.upstream == *upstream && it.fence == *fence;
        let answered = self.issuer.in_flight_orders().find(is_answered).map(|it| it.task.clone());
        let now = self.entry.node.now();
        self.answered.extend(answered.map(|task| (task, now)));
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Acquire { token, duration } => {
                let (entry, events) = (self.entry.clone(), self.events.clone());
                task::spawn_local(acquire(entry, events, token, duration));
            }
            Effect::Send(order) => self.send(order),
            Effect::TimedOut(order) => {
                tracing::warn!(fence = %order.fence, upstream = %order.task.upstream,
                    "order timed out without an answer");
            }
        }
    }

    /// Sends an order, unless its engine is gone or the lease may expire before the order is written.
    fn send(&self, order: Order) {
        let now = self.entry.node.now();
        let engine = self
            .engines(now)
            .into_iter()
            .find(|it| it.id == order.task.upstream && it.incarnation == order.task.incarnation);
        let until = self.issuer.lease_end().filter(|until| now + ORDER_LIMITS.connect < *until);
        match (engine, until) {
            (Some(engine), Some(until)) => {
                tracing::info!(fence = %order.fence, upstream = %engine.id,
                    kind = ?order.task.kind, "order sent");
                let (entry, events) = (self.entry.clone(), self.events.clone());
                task::spawn_local(deliver(entry, events, order, engine, until));
            }
            // Nothing was sent: the order is closed, and a later plan requests the task again.
            _ => report_answered(&self.events, order),
        }
    }
}

async fn acquire(entry: Rc<Entry>, events: UnboundedSender<Event>, token: u64, duration: Duration) {
    let node = &entry.node;
    let holder = Owner { instance: node.own.id.clone(), incarnation: node.incarnation };
    let action = Action::Lease { holder, duration };
    let event = match calls::submit_home_action(node, &node.region, action, LEASE_TIMEOUT).await {
        Ok(Reply::LeaseGranted { term, duration }) => Event::Granted { token, term, duration },
        Ok(_) => Event::HeldElsewhere,
        Err(error) => return tracing::debug!(%error, "failed to request the issuer lease"),
    };
    // The dispatcher has ended if the instance is shutting down.
    let _ = events.send(event);
}

/// Sends an order over a new connection, unless the lease has ended by the time it is open.
async fn deliver(
    entry: Rc<Entry>,
    events: UnboundedSender<Event>,
    order: Order,
    engine: Announcement,
    until: Time,
) {
    let Ok(content) = serde_json::to_vec(&order) else { return };
    let mut request = Request::new(Full::new(Bytes::from(content)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/v1/orders");
    body::insert(request.headers_mut(), header::HOST.as_str(), &engine.address.to_string());
    body::insert(request.headers_mut(), header::CONTENT_TYPE.as_str(), "application/json");
    let has_lease = || entry.node.now() < until;
    let client = &entry.client;
    let sent =
        client.call_if_wanted(engine.address, request, Reuse::Never, ORDER_LIMITS, has_lease).await;
    match sent {
        Err(HttpCallError::Withdrawn { .. }) => {
            tracing::warn!(fence = %order.fence, upstream = %engine.id,
                "order withdrawn; the lease ended before its connection opened");
            report_answered(&events, order);
        }
        Ok((answer, _)) => {
            let status = answer.status();
            if !status.is_success() {
                tracing::warn!(fence = %order.fence, upstream = %engine.id, %status,
                    "order refused");
            }
            report_answered(&events, order);
        }
        // The order may have arrived; the issuer gives it up after its time-out.
        Err(error) => tracing::warn!(%error, upstream = %engine.id, "no answer to the order"),
    }
}

fn report_answered(events: &UnboundedSender<Event>, order: Order) {
    let (upstream, fence) = (order.task.upstream, order.fence);
    // The dispatcher has ended if the instance is shutting down.
    let _ = events.send(Event::Answered { upstream, fence });
}
