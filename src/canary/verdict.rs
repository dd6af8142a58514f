//! Compares the target version with the other ones.

use std::time::{Duration, Instant};

use crate::canary::Tally;

/// Factor between the failure ratio of the other versions and the one that is still good.
const FAILURE_FACTOR: f64 = 1.5;
/// Failure ratio that is good whatever that of the other versions is.
const GOOD_FAILURE_RATIO: f64 = 0.005;
/// Failures above the expected number that are bad: this many, plus so many standard deviations. All
/// of the first four requests, or 5 of 30, are bad if the other versions do not fail.
const MIN_EXCESS_FAILURES: f64 = 2.5;
const EXCESS_FAILURE_DEVIATIONS: f64 = 2.5;
/// Answers from which on all answers since the beginning are compared too, which shows a small share of
/// failures. With fewer, one crash of a target would weigh too much.
const MIN_TOTAL_ANSWERS: u64 = 100;
/// Factor by which latencies may be longer: targets of one version differ by up to about 2.
const LATENCY_FACTOR: f64 = 2.2;
/// Standard errors by which the mean has to exceed that.
const LATENCY_DEVIATIONS: f64 = 2.5;
/// Fewest latencies of each version that are compared.
const MIN_TIMED: f64 = 6.0;
/// Least variance of the logarithms of latencies, because few samples may be equal by chance.
const MIN_LOG_VARIANCE: f64 = 0.09;

/// Why a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Fault {
    /// Too many of its responses fail.
    #[display("failures")]
    Failures,
    /// Its responses take several times as long.
    #[display("latency")]
    Latency,
}

/// Compares the versions on each route and on all of them together. Each pair is the tally of the
/// other versions and that of the target version on one route.
pub(crate) fn compare<'a>(
    routes: impl Iterator<Item = &'a (Tally, Tally)> + Clone,
) -> Option<Fault> {
    let (mut old_sum, mut new_sum) = (Tally::default(), Tally::default());
    for (old, new) in routes.clone() {
        old_sum.add(old);
        new_sum.add(new);
        if fails(old, new) {
            return Some(Fault::Failures);
        }
    }
    if fails(&old_sum, &new_sum) {
        return Some(Fault::Failures);
    }
    is_slow(routes).then_some(Fault::Latency)
}

/// Whether the target version fails more often, lately or since the beginning.
fn fails(old: &Tally, new: &Tally) -> bool {
    let [old_total, old_bad, total, bad] =
        [old.total, old.total_bad, new.total, new.total_bad].map(to_f64);
    exceeds_usual(old.bad / old.answers.max(1.0), new.answers, new.bad)
        || new.total >= MIN_TOTAL_ANSWERS && exceeds_usual(old_bad / old_total.max(1.0), total, bad)
}

/// Whether `bad` of `answers` are more than the `usual` ratio explains.
fn exceeds_usual(usual: f64, answers: f64, bad: f64) -> bool {
    let good_ratio = (usual * FAILURE_FACTOR + GOOD_FAILURE_RATIO).min(1.0);
    let expected = answers * good_ratio;
    bad >= expected + MIN_EXCESS_FAILURES + EXCESS_FAILURE_DEVIATIONS * expected.sqrt()
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Whether the target version is slower on one route, or on average over the routes, each weighted by
/// the precision of its difference.
fn is_slow<'a>(routes: impl Iterator<Item = &'a (Tally, Tally)>) -> bool {
    let (mut weights, mut weighted) = (0.0, 0.0);
    for (old, new) in routes {
        let old = old.mean_log(MIN_TIMED, MIN_LOG_VARIANCE);
        let new = new.mean_log(MIN_TIMED, MIN_LOG_VARIANCE);
        let (Some((old_mean, old_error)), Some((new_mean, new_error))) = (old, new) else {
            continue;
        };
        let (difference, error) = (new_mean - old_mean, old_error + new_error);
        if exceeds(difference, error) {
            return true;
        }
        weights += 1.0 / error;
        weighted += difference / error;
    }
    weights > 0.0 && exceeds(weighted / weights, 1.0 / weights)
}

fn exceeds(difference: f64, squared_error: f64) -> bool {
    difference > LATENCY_FACTOR.ln() + LATENCY_DEVIATIONS * squared_error.sqrt()
}

/// Confirms a fault by a second look, so that the requests lost in the crash of one target do not
/// count as a bad version: a bad version goes on failing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Judge {
    /// When the fault was first seen, and the number of failures or answers at that time.
    suspected: Option<(Fault, Instant, u64)>,
}

impl Judge {
    /// Whether a fault was seen that is not confirmed.
    pub(crate) fn is_suspicious(&self) -> bool {
        self.suspected.is_some()
    }

    /// Judges by the current counts. Returns a fault that has lasted for `confirmation` and that
    /// later answers have shown again.
    pub(crate) fn judge<'a>(
        &mut self,
        routes: impl Iterator<Item = &'a (Tally, Tally)> + Clone,
        confirmation: Duration,
        now: Instant,
    ) -> Option<Fault> {
        let Some(fault) = compare(routes.clone()) else {
            self.suspected = None;
            return None;
        };
        let count = routes.map(|(_, new)| match fault {
            Fault::Failures => new.total_bad,
            Fault::Latency => new.total,
        });
        let count: u64 = count.sum();
        match self.suspected {
            Some((first, since, at_first)) if first == fault => {
                let lasted = now.saturating_duration_since(since) >= confirmation;
                (lasted && count > at_first).then_some(fault)
            }
            _ => {
                self.suspected = Some((fault, now, count));
                None
            }
        }
    }
}
