//! Load patterns replayed in virtual time through the decisions of [`crate::overload`], against a
//! model of targets: slots, run times that grow with occupancy, targets of different speed.
//!
//! Decides nothing itself: a request is offered to a few targets, waits or is refused as the queue
//! there says, and a refused one returns once after its retry-after.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::overload::queue::{Admission, Demand, Queue, Ticket, effective_rank, latest_start};

/// Relative speeds of the targets, in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Weight of the newest run in the average run time of a target.
const RUN_WEIGHT: f64 = 0.1;
/// Share of the objective for which a request waits at all but the last target.
const QUEUE_WAIT_SHARE: f64 = 0.125;
/// Targets that a request is offered to.
const OFFERS: usize = 3;
/// Bounds of the time after which a refused request returns.
const RETURN_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// A service and the number of its targets, with `slots` each.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Additional run time with all slots occupied, relative to an idle target.
    pub full_slowdown: f64,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Service that the requests go to, as an index.
    pub service: usize,
    /// Rank of the route.
    pub rank: u32,
    /// Requests per second that callers send; 0 for calls of other requests.
    pub rate: f64,
    /// Mean run time.
    pub work: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Time after which the caller leaves.
    pub deadline: Duration,
    /// Calls that a request makes one after the other halfway through its run: the class, and how
    /// many. The request fails if one of them is refused.
    pub calls: Option<(usize, u32)>,
}

/// Services and classes of requests, with a time in which the callers send more.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Services.
    pub services: Vec<Service>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Factor on the rates of the classes.
    pub load: f64,
    /// Length of the run.
    pub length: Duration,
    /// Seed of arrivals and run times.
    pub seed: u64,
    /// Whether calls of running requests are recognised as such.
    pub calls_recognised: bool,
    /// Whether it is known of a request that its caller returns after a refusal.
    pub returns_recognised: bool,
}

/// What the callers of one class got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that callers sent, without their returns.
    pub asked: u32,
    /// Requests answered within the objective.
    pub on_time: u32,
    /// Requests answered after the objective.
    pub late: u32,
    /// Runs that failed because one of their calls was refused.
    pub failed_runs: u32,
    /// Requests that were refused when they returned.
    pub refused_again: u32,
    /// Times from arrival to refusal in milliseconds.
    pub refusal_ms: Vec<f64>,
}

impl Outcome {
    /// Share of the requests that were answered within the objective.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    /// The 99th percentile of the times from arrival to refusal, in milliseconds.
    #[must_use]
    pub fn refusal_p99_ms(&self) -> f64 {
        let mut times = self.refusal_ms.clone();
        times.sort_by(f64::total_cmp);
        times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
    }
}

/// Requests of two ranks to one service.
#[must_use]
pub fn plain_crest(seed: u64) -> Pattern {
    let class = |rank, rate, work_ms, objective_ms| Class {
        service: 0,
        rank,
        rate,
        work: Duration::from_millis(work_ms),
        objective: Duration::from_millis(objective_ms),
        deadline: Duration::from_millis(3 * objective_ms),
        calls: None,
    };
    Pattern {
        services: vec![Service {
            targets: 20,
            slots: 9,
            full_slowdown: 0.0,
        }],
        classes: vec![class(0, 900.0, 120, 500), class(1, 150.0, 480, 3000)],
        load: 1.0,
        length: Duration::from_secs(12),
        seed,
        calls_recognised: true,
        returns_recognised: true,
    }
}

/// Requests to one service that call another one twice, which has requests of its own.
#[must_use]
pub fn nested_calls(seed: u64) -> Pattern {
    let service = |targets| Service {
        targets,
        slots: 9,
        full_slowdown: 0.0,
    };
    let class = |service, rank, rate, work_ms, objective_ms, deadline_ms| Class {
        service,
        rank,
        rate,
        work: Duration::from_millis(work_ms),
        objective: Duration::from_millis(objective_ms),
        deadline: Duration::from_millis(deadline_ms),
        calls: None,
    };
    Pattern {
        services: vec![service(26), service(19)],
        classes: vec![
            Class {
                calls: Some((1, 2)),
                ..class(0, 0, 700.0, 120, 500, 1500)
            },
            class(1, 1, 0.0, 30, 120, 400),
            class(1, 1, 600.0, 160, 600, 1500),
        ],
        load: 1.0,
        length: Duration::from_secs(12),
        seed,
        calls_recognised: true,
        returns_recognised: true,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// Half of the run is over.
    Halfway(usize),
    Finish(usize),
    /// A waiting request can no longer meet its objective.
    Late(usize),
    /// The longest wait of a request has ended.
    WaitEnd(usize),
}

struct Request {
    class: usize,
    /// First arrival, from which objective and deadline count.
    began: Instant,
    arrived: Instant,
    parent: Option<usize>,
    calls_left: u32,
    returned: bool,
    offers: usize,
    target: usize,
    ticket: Option<(Ticket, Demand)>,
    run: Duration,
    done: bool,
}

struct Target {
    queue: Queue,
    speed: f64,
    average_run: Duration,
    /// Average of run times relative to the mean of their class.
    slowness: f64,
    waiting: HashMap<Ticket, usize>,
}

struct Model<'a> {
    pattern: &'a Pattern,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    number: u64,
    requests: Vec<Request>,
    targets: Vec<Vec<Target>>,
    outcomes: Vec<Outcome>,
}

/// Replays a pattern; returns the outcome of each class.
#[must_use]
pub fn replay(pattern: &Pattern) -> Vec<Outcome> {
    let start = Instant::now();
    let mut model = Model::new(pattern);
    model.schedule_callers(start);
    let end = start + pattern.length;
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now > end {
            break;
        }
        match event {
            Event::Arrive(request) => model.offer(now, request),
            Event::Halfway(request) => model.make_call(now, request),
            Event::Finish(request) => model.finish(now, request),
            Event::Late(request) => model.check_late(now, request),
            Event::WaitEnd(request) => model.end_wait(now, request),
        }
    }
    model.outcomes
}

impl<'a> Model<'a> {
    fn new(pattern: &'a Pattern) -> Self {
        let target = |number: usize, service: &Service| {
            let mut queue = Queue::default();
            queue.set_slots(service.slots);
            Target {
                queue,
                speed: SPEEDS[number % SPEEDS.len()],
                average_run: Duration::from_millis(150),
                slowness: 1.0,
                waiting: HashMap::new(),
            }
        };
        let targets =
            |service: &Service| (0..service.targets).map(|n| target(n, service)).collect();
        Self {
            pattern,
            rng: StdRng::seed_from_u64(pattern.seed),
            events: BinaryHeap::new(),
            number: 0,
            requests: Vec::new(),
            targets: pattern.services.iter().map(targets).collect(),
            outcomes: vec![Outcome::default(); pattern.classes.len()],
        }
    }

    /// Schedules the arrivals of the callers' requests, at random times.
    fn schedule_callers(&mut self, start: Instant) {
        for class in 0..self.pattern.classes.len() {
            let rate = self.pattern.classes[class].rate * self.pattern.load;
            if rate <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            loop {
                at += -(1.0 - self.rng.random::<f64>()).ln() / rate;
                if at > self.pattern.length.as_secs_f64() {
                    break;
                }
                let now = start + Duration::from_secs_f64(at);
                let request = self.add_request(class, now, now, None);
                self.outcomes[class].asked += 1;
                self.schedule(now, Event::Arrive(request));
            }
        }
    }

    fn add_request(
        &mut self,
        class: usize,
        began: Instant,
        arrived: Instant,
        parent: Option<usize>,
    ) -> usize {
        let calls = self.pattern.classes[class].calls;
        self.requests.push(Request {
            class,
            began,
            arrived,
            parent,
            calls_left: calls.map_or(0, |(_, count)| count),
            returned: false,
            offers: 0,
            target: 0,
            ticket: None,
            run: Duration::ZERO,
            done: false,
        });
        self.requests.len() - 1
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    /// Offers a request to the shorter of two random queues.
    fn offer(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        let class = self.pattern.classes[request.class];
        let nested = request.parent.is_some() && self.pattern.calls_recognised;
        let targets = &self.targets[class.service];
        let (one, other) = (
            self.rng.random_range(0..targets.len()),
            self.rng.random_range(0..targets.len()),
        );
        let load = |target: usize| {
            targets[target].queue.running() as usize + targets[target].queue.waiting()
        };
        let chosen = if load(one) <= load(other) { one } else { other };
        let objective_began = if self.pattern.returns_recognised || !request.returned {
            request.began
        } else {
            request.arrived
        };
        let objective_end = objective_began + class.objective;
        let last = request.offers + 1 == OFFERS;
        let start_limit = (request.began + class.deadline.saturating_sub(class.work))
            .saturating_duration_since(now);
        let max_wait = if last {
            start_limit
        } else {
            class.objective.mul_f64(QUEUE_WAIT_SHARE)
        };
        let demand = Demand {
            rank: effective_rank(class.rank, nested),
            objective_end,
            latest_start: latest_start(objective_end, class.work.mul_f64(targets[chosen].slowness)),
            wait_end: now + max_wait,
            leave_at: Demand::leave_at(now, max_wait, start_limit),
        };
        let request = &mut self.requests[number];
        request.offers += 1;
        request.target = chosen;
        let target = &mut self.targets[class.service][chosen];
        match target.queue.arrive(now, demand, target.average_run) {
            Admission::Run => self.start(now, number),
            Admission::Refuse(wait) => self.refuse(now, number, wait),
            Admission::Wait(ticket) => {
                target.waiting.insert(ticket, number);
                self.requests[number].ticket = Some((ticket, demand));
                self.schedule(
                    demand.latest_start.min(demand.leave_at).max(now),
                    Event::Late(number),
                );
                self.schedule(demand.leave_at, Event::WaitEnd(number));
            }
        }
    }

    /// Starts the first half of a run; calls follow it.
    fn start(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        let class = self.pattern.classes[request.class];
        let target = &self.targets[class.service][request.target];
        let occupancy = f64::from(target.queue.running()) / f64::from(target.queue.slots());
        let slowdown = self.pattern.services[class.service].full_slowdown;
        let spread = 0.5 + self.rng.random::<f64>();
        let factor = spread * (1.0 + slowdown * occupancy * occupancy) / target.speed;
        let request = &mut self.requests[number];
        request.ticket = None;
        request.arrived = now;
        request.run = class.work.mul_f64(factor);
        let halfway = now + request.run / 2;
        self.schedule(halfway, Event::Halfway(number));
    }

    /// Makes the next call of a running request, or runs its second half.
    fn make_call(&mut self, now: Instant, number: usize) {
        let request = &mut self.requests[number];
        let calls = self.pattern.classes[request.class].calls;
        if request.done {
            return;
        }
        if let (Some((class, _)), true) = (calls, request.calls_left > 0) {
            request.calls_left -= 1;
            let call = self.add_request(class, now, now, Some(number));
            self.outcomes[class].asked += 1;
            self.offer(now, call);
            return;
        }
        let finish = now + request.run / 2;
        self.schedule(finish, Event::Finish(number));
    }

    fn finish(&mut self, now: Instant, number: usize) {
        let request = &self.requests[number];
        if request.done {
            return;
        }
        let class = self.pattern.classes[request.class];
        let took = now - request.began;
        let outcome = &mut self.outcomes[request.class];
        if took <= class.objective {
            outcome.on_time += 1;
        } else if took <= class.deadline {
            outcome.late += 1;
        }
        let parent = request.parent;
        self.free_slot(now, number);
        if let Some(parent) = parent {
            if took <= class.deadline {
                self.make_call(now, parent);
            } else {
                self.fail(now, parent);
            }
        }
    }

    /// Ends a run because one of its calls failed.
    fn fail(&mut self, now: Instant, number: usize) {
        if self.requests[number].done {
            return;
        }
        self.outcomes[self.requests[number].class].failed_runs += 1;
        self.free_slot(now, number);
    }

    fn free_slot(&mut self, now: Instant, number: usize) {
        let request = &mut self.requests[number];
        request.done = true;
        let service = self.pattern.classes[request.class].service;
        let (index, held) = (request.target, now - request.arrived);
        let target = &mut self.targets[service][index];
        let average = target.average_run.as_secs_f64();
        let average = average + RUN_WEIGHT * (held.as_secs_f64() - average);
        target.average_run = Duration::from_secs_f64(average);
        let ratio = held.as_secs_f64() / self.pattern.classes[request.class].work.as_secs_f64();
        target.slowness += RUN_WEIGHT * (ratio - target.slowness);
        target.queue.finish();
        while let Some(ticket) = self.targets[service][index].queue.start_next(now) {
            let next = self.targets[service][index].waiting.remove(&ticket);
            if let Some(next) = next {
                self.start(now, next);
            }
        }
    }

    fn check_late(&mut self, now: Instant, number: usize) {
        let Some((ticket, demand)) = self.requests[number].ticket else {
            return;
        };
        let service = self.pattern.classes[self.requests[number].class].service;
        let target = &self.targets[service][self.requests[number].target];
        let kept = target
            .queue
            .keep_late(now, &ticket, demand.leave_at, target.average_run);
        match kept {
            Ok(leave_at) => {
                if let Some((_, demand)) = &mut self.requests[number].ticket {
                    demand.leave_at = leave_at;
                }
                self.schedule(leave_at, Event::WaitEnd(number));
            }
            Err(wait) => {
                self.leave_queue(number);
                self.refuse(now, number, wait);
            }
        }
    }

    fn end_wait(&mut self, now: Instant, number: usize) {
        let Some((_, demand)) = self.requests[number].ticket else {
            return;
        };
        if demand.leave_at <= now {
            self.leave_queue(number);
            self.refuse(now, number, RETURN_AFTER.0);
        }
    }

    fn leave_queue(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let service = self.pattern.classes[request.class].service;
        if let Some((ticket, _)) = request.ticket.take() {
            let target = &mut self.targets[service][request.target];
            target.queue.remove(&ticket);
            target.waiting.remove(&ticket);
        }
    }

    /// Offers a refused request to another target, or gives the refusal to its caller.
    fn refuse(&mut self, now: Instant, number: usize, expected_wait: Duration) {
        let request = &mut self.requests[number];
        if request.offers < OFFERS {
            self.offer(now, number);
            return;
        }
        let waited = now - request.arrived;
        let class = request.class;
        self.outcomes[class]
            .refusal_ms
            .push(waited.as_secs_f64() * 1e3);
        if let Some(parent) = request.parent {
            self.fail(now, parent);
        } else if request.returned {
            self.outcomes[class].refused_again += 1;
        } else {
            request.returned = true;
            request.offers = 0;
            let at = now + expected_wait.clamp(RETURN_AFTER.0, RETURN_AFTER.1);
            request.arrived = at;
            if at < request.began + self.pattern.classes[class].deadline {
                self.schedule(at, Event::Arrive(number));
            }
        }
    }
}
