//! Requests of very different cost, replayed in virtual time through the decisions that place, order
//! and refuse them: by numbers of requests, by their expected costs, and by perfect knowledge.
//!
//! Decides nothing itself. Each caller's node has its own [`Endpoint`] for each target and its own
//! estimates, and knows of a target only what replies and pings brought it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::directory::{self, Endpoint, InFlight};
use crate::link::{self, Entry, Load};
use crate::overload::backlog;
use crate::overload::cost::Estimator;
use crate::overload::placement::{self, Candidate};
use crate::overload::queue::{Admission, Demand, Queue, Ticket, effective_rank, latest_start};
use crate::overload::shape::{Features, Shape};
use crate::overload::speed::Speed;
use crate::roster::Presence;

/// Time that a message takes from one node to another.
const ONE_WAY: Duration = Duration::from_micros(700);
/// Weights of the newest sample in the averages that placement by numbers goes by.
const LATENCY_WEIGHT: f64 = 0.05;
const RUN_WEIGHT: f64 = 0.1;
/// Runs over which the speed of a target is learned.
const SPEED_RUNS: u32 = 50;
/// Share of the objective that the first request is expected to take.
const INITIAL_OBJECTIVES: f64 = 0.25;

/// By what requests are placed, ordered and refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Rule {
    /// Numbers of requests and averages by route, as without `[placement] cost`.
    #[display("count")]
    Count,
    /// Expected costs, as with it.
    #[display("cost")]
    Cost,
    /// True run times and the true state of all targets.
    #[display("oracle")]
    Oracle,
}

/// Requests that have one path.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Path, by which requests can be told apart.
    pub path: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Mean run time at a target of speed 1; single ones vary by up to a quarter.
    pub work: Duration,
    /// Share of the requests that take `tail_factor` times as long.
    pub tail_share: f64,
    /// How much longer they take.
    pub tail_factor: f64,
}

/// A load on one route of one service.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What the load is like.
    pub name: &'static str,
    /// Nodes that send requests.
    pub callers: usize,
    /// Speed of each target.
    pub speeds: Vec<f64>,
    /// Slots of each target.
    pub slots: u32,
    /// Share of all slots that the requests occupy on average.
    pub load: f64,
    /// Kinds of requests in the first half.
    pub kinds: Vec<Kind>,
    /// Kinds in the second half, at the same rate; empty for the same ones.
    pub later: Vec<Kind>,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time after which a caller leaves.
    pub deadline: Duration,
    /// Period of pings, which bring each caller's node the load of each target.
    pub ping: Duration,
    /// Whether replies bring the load as well.
    pub replies_report: bool,
    /// Target that always reports to be idle and of usual speed.
    pub false_reports: Option<usize>,
    /// Length of the run.
    pub length: Duration,
    /// Seed of arrivals and run times.
    pub seed: u64,
}

/// What the callers got for requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that callers sent.
    pub asked: u32,
    /// Latencies of the answered ones in milliseconds, in order.
    pub latencies_ms: Vec<f64>,
    /// Requests answered within the objective.
    pub in_time: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests that were not answered before their deadline.
    pub expired: u32,
}

impl Outcome {
    /// Latency in milliseconds that this share of the answered requests stays below.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index in a list of less than a million"
    )]
    pub fn percentile_ms(&self, share: f64) -> f64 {
        let index = (self.latencies_ms.len() as f64 * share) as usize;
        let last = self.latencies_ms.last().copied().unwrap_or(0.0);
        self.latencies_ms.get(index).copied().unwrap_or(last)
    }

    /// Share of the requests that were answered within the objective.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

const fn kind(path: &'static str, share: f64, work_ms: u64) -> Kind {
    Kind {
        path,
        share,
        work: Duration::from_millis(work_ms),
        tail_share: 0.0,
        tail_factor: 1.0,
    }
}

/// The scenarios, each with one difficulty.
#[must_use]
pub fn scenarios(seed: u64) -> Vec<Scenario> {
    let base = Scenario {
        name: "bimodal",
        callers: 30,
        speeds: vec![1.0; 12],
        slots: 8,
        load: 0.85,
        kinds: vec![
            kind("/items/short", 0.9, 40),
            kind("/items/full", 0.1, 2400),
        ],
        later: Vec::new(),
        objective: Duration::from_millis(3_500),
        deadline: Duration::from_secs(7),
        ping: Duration::from_millis(400),
        replies_report: true,
        false_reports: None,
        length: Duration::from_secs(30),
        seed,
    };
    let tailed = Kind {
        tail_share: 0.03,
        tail_factor: 6.0,
        ..kind("/items/one", 1.0, 120)
    };
    vec![
        base.clone(),
        Scenario {
            name: "uneven speed",
            speeds: [0.5, 0.75, 1.0, 1.5].repeat(3),
            load: 0.75,
            ..base.clone()
        },
        Scenario {
            name: "stale reports",
            ping: Duration::from_secs(1),
            replies_report: false,
            load: 0.75,
            ..base.clone()
        },
        Scenario {
            name: "one best target",
            callers: 90,
            speeds: [vec![1.5], vec![0.75; 11]].concat(),
            ping: Duration::from_millis(500),
            replies_report: false,
            load: 0.75,
            ..base.clone()
        },
        Scenario {
            name: "false reports",
            speeds: [vec![0.25], vec![1.0; 11]].concat(),
            false_reports: Some(0),
            load: 0.75,
            ..base.clone()
        },
        Scenario {
            name: "changed mix",
            load: 0.75,
            later: vec![
                kind("/items/short", 0.1, 2400),
                kind("/items/full", 0.9, 40),
            ],
            ..base.clone()
        },
        Scenario {
            name: "one kind",
            speeds: [0.5, 0.75, 1.0, 1.5].repeat(3),
            kinds: vec![tailed],
            objective: Duration::from_millis(500),
            deadline: Duration::from_millis(1_500),
            ..base
        },
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request.
    Ask(usize),
    /// An offer arrives at the target's node.
    Deliver(usize),
    /// A run ends.
    Finish(usize),
    /// A waiting request can no longer meet its objective.
    Late(usize),
    /// The longest wait of a request has ended.
    WaitEnd(usize),
    /// The reply arrives at the caller's node: an answer, or a refusal.
    Reply(usize, bool),
    /// All callers' nodes get the load of this target.
    Ping(usize),
}

struct Request {
    caller: usize,
    kind: usize,
    asked: Instant,
    /// True run time at speed 1.
    work: Duration,
    /// Expected run time at the usual speed, or latency if requests are placed by numbers.
    expected: Duration,
    target: usize,
    excluded: Vec<usize>,
    last: bool,
    max_wait: Duration,
    offered: Instant,
    expected_time: Duration,
    in_flight: Option<InFlight>,
    ticket: Option<(Ticket, Demand)>,
    started: Instant,
    /// Time that the run took, converted to the usual speed.
    measured: Option<Duration>,
    /// Load of the target when it replied.
    load: Load,
}

struct Target {
    queue: Queue,
    speed: f64,
    waiting: HashMap<Ticket, usize>,
    running: Vec<usize>,
    run_ms: f64,
    slowness: f64,
    learned: Speed,
}

struct Caller {
    endpoints: Vec<Arc<Endpoint>>,
    estimator: Estimator,
    latency: Option<f64>,
}

struct Model<'a> {
    scenario: &'a Scenario,
    rule: Rule,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    number: u64,
    requests: Vec<Request>,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    outcomes: Vec<Outcome>,
}

/// Replays a scenario; returns the outcome of each kind of requests.
#[must_use]
pub fn replay(scenario: &Scenario, rule: Rule) -> Vec<Outcome> {
    let start = Instant::now();
    let mut model = Model::new(scenario, rule, start);
    model.schedule_all(start);
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        match event {
            Event::Ask(request) => model.ask(now, request),
            Event::Deliver(request) => model.deliver(now, request),
            Event::Finish(request) => model.finish(now, request),
            Event::Late(request) => model.check_late(now, request),
            Event::WaitEnd(request) => model.end_wait(now, request),
            Event::Reply(request, answered) => model.reply(now, request, answered),
            Event::Ping(target) => model.ping(now, target),
        }
    }
    for outcome in &mut model.outcomes {
        outcome.latencies_ms.sort_by(f64::total_cmp);
    }
    model.outcomes
}

fn entry(number: usize, slots: u32) -> Entry {
    Entry {
        node: format!("n{number}"),
        incarnation: 1,
        revision: 0,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        region: "r".into(),
        data_center: "r-a".into(),
        presence: Presence::Serving,
        target: Some(link::Target {
            id: format!("t{number}"),
            started_ms: 1,
            sequence: 1,
            service: "items".into(),
            slots,
            cold_ms: 0,
            version: String::new(),
        }),
    }
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario, rule: Rule, start: Instant) -> Self {
        let target = |speed: &f64| {
            let mut queue = Queue::default();
            queue.set_slots(scenario.slots);
            Target {
                queue,
                speed: *speed,
                waiting: HashMap::new(),
                running: Vec::new(),
                run_ms: 150.0,
                slowness: 1.0,
                learned: Speed::new(SPEED_RUNS),
            }
        };
        let endpoint = |number| {
            let entry = entry(number, scenario.slots);
            Arc::new(Endpoint::detached(entry, ONE_WAY * 2, start))
        };
        let caller = |_| Caller {
            endpoints: (0..scenario.speeds.len()).map(endpoint).collect(),
            estimator: Estimator::default(),
            latency: None,
        };
        Self {
            scenario,
            rule,
            rng: StdRng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            number: 0,
            requests: Vec::new(),
            targets: scenario.speeds.iter().map(target).collect(),
            callers: (0..scenario.callers).map(caller).collect(),
            outcomes: vec![Outcome::default(); scenario.kinds.len()],
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Schedules the requests, at random times, and the pings. All rules get the same requests.
    fn schedule_all(&mut self, start: Instant) {
        let scenario = self.scenario;
        let mean = |kind: &Kind| {
            kind.share
                * kind.work.as_secs_f64()
                * (1.0 + kind.tail_share * (kind.tail_factor - 1.0))
        };
        let work: f64 = scenario.kinds.iter().map(mean).sum();
        let capacity = scenario.speeds.iter().sum::<f64>() * f64::from(scenario.slots);
        let rate = scenario.load * capacity / work;
        let length = scenario.length.as_secs_f64();
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            if at > length {
                break;
            }
            let changed = at > length / 2.0 && !scenario.later.is_empty();
            let kinds = if changed {
                &scenario.later
            } else {
                &scenario.kinds
            };
            let now = start + Duration::from_secs_f64(at);
            let request = self.random_request(kinds, now);
            self.outcomes[request.kind].asked += 1;
            self.requests.push(request);
            self.schedule(now, Event::Ask(self.requests.len() - 1));
        }
        for target in 0..self.targets.len() {
            let mut at = scenario.ping.mul_f64(self.rng.random::<f64>());
            while at < scenario.length {
                self.schedule(start + at, Event::Ping(target));
                at += scenario.ping;
            }
        }
    }

    fn random_request(&mut self, kinds: &[Kind], now: Instant) -> Request {
        let mut left = self.rng.random::<f64>();
        let is_chosen = |kind: &Kind| {
            left -= kind.share;
            left < 0.0
        };
        let kind = kinds.iter().position(is_chosen).unwrap_or(0);
        let mut work = kinds[kind]
            .work
            .mul_f64(0.75 + 0.5 * self.rng.random::<f64>());
        if self.rng.random::<f64>() < kinds[kind].tail_share {
            work = work.mul_f64(kinds[kind].tail_factor);
        }
        Request {
            caller: self.rng.random_range(0..self.scenario.callers),
            kind,
            asked: now,
            work,
            expected: Duration::ZERO,
            target: 0,
            excluded: Vec::new(),
            last: false,
            max_wait: Duration::ZERO,
            offered: now,
            expected_time: Duration::ZERO,
            in_flight: None,
            ticket: None,
            started: now,
            measured: None,
            load: Load::default(),
        }
    }

    fn shape(&self, request: &Request) -> Shape {
        Shape::from(Features {
            route: "items",
            method: "GET",
            target: self.scenario.kinds[request.kind].path,
            body_bytes: 0,
            tenant: "",
        })
    }

    fn ask(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        let caller = &self.callers[request.caller];
        let fallback = self.scenario.objective.mul_f64(INITIAL_OBJECTIVES);
        let expected = match self.rule {
            Rule::Count => caller.latency.map_or(fallback, Duration::from_secs_f64),
            Rule::Cost => {
                let shape = self.shape(request);
                let estimate = caller.estimator.estimate(&shape, fallback, now);
                if estimate.shortest_run() > self.scenario.deadline {
                    self.outcomes[request.kind].refused += 1;
                    return;
                }
                estimate.run()
            }
            Rule::Oracle => request.work,
        };
        self.requests[number].expected = expected;
        self.offer(now, number);
    }

    /// Offers a request to the target that the rule chooses.
    fn offer(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        let deadline = request.asked + self.scenario.deadline;
        let time_left = deadline.saturating_duration_since(now);
        let objective_end = request.asked + self.scenario.objective;
        let demand = directory::Demand {
            service: "items",
            expected_latency: request.expected,
            objective: self.scenario.objective,
            nested: false,
            body_bytes: 0,
            by_work: self.rule == Rule::Cost,
        };
        let (target, max_wait, last) = if self.rule == Rule::Oracle {
            (self.best_target(now, request.work), time_left, true)
        } else {
            let endpoints = &self.callers[request.caller].endpoints;
            let open = endpoints.iter().enumerate();
            let open = open.filter(|(target, _)| !request.excluded.contains(target));
            let open = open.map(|(_, endpoint)| endpoint);
            let ranked = directory::order(open, &demand, now, &mut self.rng);
            let candidates = ranked.iter().map(|endpoint| Candidate {
                full: endpoint.is_full(now),
                round_trip: ONE_WAY * 2,
                remote: false,
                overloaded_for: None,
            });
            let placed = placement::Demand {
                objective: self.scenario.objective,
                objective_left: objective_end.saturating_duration_since(now),
                time_left,
                expected_latency: request.expected,
                nested: false,
                large: false,
                overload_refusals: request.excluded.len(),
            };
            let Some(choice) = placement::choose(candidates, &placed) else {
                self.outcomes[request.kind].refused += 1;
                return;
            };
            let chosen = &ranked[choice.index];
            let target = endpoints.iter().position(|e| Arc::ptr_eq(e, chosen));
            let max_wait = if self.rule == Rule::Cost {
                backlog::longest_wait(choice.max_wait, request.expected, choice.last)
            } else {
                choice.max_wait
            };
            (target.unwrap_or(0), max_wait, choice.last)
        };
        let endpoint = &self.callers[request.caller].endpoints[target];
        let expected_time = endpoint.expected_time(&demand, now);
        let in_flight = endpoint.begin(request.expected, now);
        let request = &mut self.requests[number];
        request.target = target;
        request.last = last;
        request.max_wait = max_wait;
        request.offered = now;
        request.expected_time = expected_time;
        request.in_flight = Some(in_flight);
        self.schedule(now + ONE_WAY, Event::Deliver(number));
    }

    /// Target where a request would end first, by the true state of all targets.
    fn best_target(&self, now: Instant, work: Duration) -> usize {
        let end = |target: &Target| {
            let mut free: Vec<f64> = (target.running.iter())
                .map(|number| self.true_left(target, *number, now).as_secs_f64())
                .collect();
            free.resize(self.scenario.slots as usize, 0.0);
            let mut waiting: Vec<_> = target.waiting.iter().collect();
            waiting.sort();
            let waiting = waiting
                .into_iter()
                .map(|(_, number)| self.requests[*number].work);
            let mut end = 0.0;
            for work in waiting.chain([work]) {
                free.sort_by(f64::total_cmp);
                free[0] += work.as_secs_f64() / target.speed;
                end = free[0];
            }
            end
        };
        let ends = self.targets.iter().map(end).enumerate();
        let best = ends.min_by(|(_, one), (_, other)| one.total_cmp(other));
        best.map_or(0, |(target, _)| target)
    }

    fn true_left(&self, target: &Target, number: usize, now: Instant) -> Duration {
        let request = &self.requests[number];
        let run = request.work.div_f64(target.speed);
        run.saturating_sub(now - request.started)
    }

    /// Run time of a request that its target expects.
    fn expected_run(&self, number: usize) -> Duration {
        let request = &self.requests[number];
        let target = &self.targets[request.target];
        match self.rule {
            // The average of the route, which all requests here have in common.
            Rule::Count => Duration::from_secs_f64(target.run_ms / 1e3),
            Rule::Cost => request.expected.mul_f64(target.learned.slowness()),
            Rule::Oracle => request.work.div_f64(target.speed),
        }
    }

    /// Sum of the run times that are left at a target.
    fn work_left(&self, target: &Target, now: Instant) -> Duration {
        let running = target.running.iter().map(|number| {
            if self.rule == Rule::Oracle {
                return self.true_left(target, *number, now);
            }
            let elapsed = now - self.requests[*number].started;
            backlog::remaining(self.expected_run(*number), elapsed)
        });
        let waiting = target.waiting.values();
        let waiting = waiting.map(|number| self.expected_run(*number));
        running.chain(waiting).sum()
    }

    /// Time per request ahead, from which the queue derives waits.
    fn average_run(&self, target: &Target, now: Instant) -> Duration {
        let count = target.running.len() + target.waiting.len();
        if self.rule == Rule::Count || count == 0 {
            return Duration::from_secs_f64(target.run_ms / 1e3);
        }
        self.work_left(target, now)
            .div_f64(f64::from(u32::try_from(count).unwrap_or(1)))
    }

    fn deliver(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        let target = &self.targets[request.target];
        let deadline = request.asked + self.scenario.deadline;
        let expected_run = self.expected_run(number);
        let average_run = self.average_run(target, now);
        let mut start_limit = deadline.saturating_duration_since(now);
        if self.rule != Rule::Count {
            start_limit = start_limit.saturating_sub(expected_run);
        }
        let max_wait = request.max_wait.min(start_limit);
        let objective_end = request.asked + self.scenario.objective;
        let demand = Demand {
            rank: effective_rank(0, false),
            objective_end: match self.rule {
                Rule::Cost => backlog::due(now, objective_end, expected_run),
                _ => objective_end,
            },
            latest_start: latest_start(objective_end, expected_run),
            wait_end: now + max_wait,
            leave_at: Demand::leave_at(now, max_wait, start_limit),
        };
        let target = &mut self.targets[request.target];
        match target.queue.arrive(now, demand, average_run) {
            Admission::Run => self.start(now, number),
            Admission::Refuse(_) => self.send_reply(now, number, false),
            Admission::Wait(ticket) => {
                target.waiting.insert(ticket, number);
                self.requests[number].ticket = Some((ticket, demand));
                let late = demand.latest_start.min(demand.leave_at).max(now);
                self.schedule(late, Event::Late(number));
            }
        }
    }

    fn start(&mut self, now: Instant, number: usize) {
        let request = &mut self.requests[number];
        request.ticket = None;
        request.started = now;
        let target = &mut self.targets[request.target];
        target.running.push(number);
        let run = request.work.div_f64(target.speed);
        let end = (now + run).min(request.asked + self.scenario.deadline);
        self.schedule(end.max(now), Event::Finish(number));
    }

    fn finish(&mut self, now: Instant, number: usize) {
        let request = &mut self.requests[number];
        let index = request.target;
        let target = &mut self.targets[index];
        let took = now - request.started;
        let answered = now < request.asked + self.scenario.deadline;
        target.running.retain(|running| *running != number);
        if answered {
            request.measured = Some(took.div_f64(target.learned.slowness()));
            target.learned.learn(took, request.expected);
            target.run_ms += RUN_WEIGHT * (took.as_secs_f64() * 1e3 - target.run_ms);
            let ratio = took.as_secs_f64() / request.expected.as_secs_f64().max(1e-3);
            target.slowness += RUN_WEIGHT * (ratio.clamp(0.1, 20.0) - target.slowness);
        }
        target.queue.finish();
        while let Some(ticket) = self.targets[index].queue.start_next(now) {
            let next = self.targets[index].waiting.remove(&ticket);
            if let Some(next) = next {
                self.start(now, next);
            }
        }
        if answered {
            self.send_reply(now, number, true);
        } else {
            let request = &mut self.requests[number];
            request.in_flight = None;
            let endpoint = &self.callers[request.caller].endpoints[index];
            endpoint.record_outcome(true, now);
            endpoint.record_time(now - request.offered, request.expected_time, now);
            self.outcomes[request.kind].expired += 1;
        }
    }

    fn check_late(&mut self, now: Instant, number: usize) {
        let Some((ticket, demand)) = self.requests[number].ticket else {
            return;
        };
        let target = &self.targets[self.requests[number].target];
        let average_run = self.average_run(target, now);
        let kept = target
            .queue
            .keep_late(now, &ticket, demand.leave_at, average_run);
        match kept {
            Ok(leave_at) => self.schedule(leave_at, Event::WaitEnd(number)),
            Err(_) => self.leave_queue(now, number),
        }
    }

    fn end_wait(&mut self, now: Instant, number: usize) {
        if self.requests[number].ticket.is_some() {
            self.leave_queue(now, number);
        }
    }

    fn leave_queue(&mut self, now: Instant, number: usize) {
        let request = &mut self.requests[number];
        if let Some((ticket, _)) = request.ticket.take() {
            let target = &mut self.targets[request.target];
            target.queue.remove(&ticket);
            target.waiting.remove(&ticket);
        }
        self.send_reply(now, number, false);
    }

    fn send_reply(&mut self, now: Instant, number: usize, answered: bool) {
        self.requests[number].load = self.load(now, self.requests[number].target);
        self.schedule(now + ONE_WAY, Event::Reply(number, answered));
    }

    /// What a target's node reports of its load.
    fn load(&self, now: Instant, index: usize) -> Load {
        let target = &self.targets[index];
        let percent = |ratio: f64| rounded(ratio * 100.0);
        if self.scenario.false_reports == Some(index) {
            return Load {
                slots: self.scenario.slots,
                run_ms: 1,
                slowness_percent: 100,
                ..Load::default()
            };
        }
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        let work = self.work_left(target, now) / self.scenario.slots;
        Load {
            running: count(target.running.len()),
            queued: count(target.waiting.len()),
            slots: self.scenario.slots,
            run_ms: rounded(target.run_ms),
            slowness_percent: match self.rule {
                Rule::Cost => percent(target.learned.slowness()),
                _ => percent(target.slowness),
            },
            failing_percent: 0,
            work_ms: match self.rule {
                Rule::Cost => rounded((work.as_secs_f64() * 1e3).ceil()),
                _ => 0,
            },
        }
    }

    fn ping(&mut self, now: Instant, index: usize) {
        let load = self.load(now, index);
        for caller in &self.callers {
            caller.endpoints[index].record_load(load, now + ONE_WAY);
        }
    }

    fn reply(&mut self, now: Instant, number: usize, answered: bool) {
        let shape = self.shape(&self.requests[number]);
        let request = &mut self.requests[number];
        request.in_flight = None;
        let caller = &mut self.callers[request.caller];
        let endpoint = &caller.endpoints[request.target];
        if self.scenario.replies_report {
            endpoint.record_load(request.load, now);
        }
        let took = now - request.offered;
        let outcome = &mut self.outcomes[request.kind];
        if answered {
            endpoint.record_outcome(false, now);
            endpoint.record_time(took, request.expected_time, now);
            let latency = now - request.asked;
            let average = caller.latency.get_or_insert(latency.as_secs_f64());
            *average += LATENCY_WEIGHT * (latency.as_secs_f64() - *average);
            if let Some(measured) = request.measured {
                caller.estimator.learn(&shape, measured, now);
            }
            outcome.latencies_ms.push(latency.as_secs_f64() * 1e3);
            outcome.in_time += u32::from(latency <= self.scenario.objective);
            return;
        }
        endpoint.record_refusal(now);
        let refusal_time = Endpoint::refusal_time(request.expected_time);
        endpoint.record_time(took.max(refusal_time), request.expected_time, now);
        if request.last {
            outcome.refused += 1;
            return;
        }
        request.excluded.push(request.target);
        self.offer(now, number);
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive numbers"
)]
fn rounded(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}
