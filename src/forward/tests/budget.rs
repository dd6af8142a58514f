//! Tests of the retry budget.

use std::time::Duration;

use proptest::prelude::*;

use crate::forward::budget::{Budget, Limits};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

/// Number of withdrawals granted out of `attempts`.
fn granted(budget: &Budget, service: &str, nodes: usize, attempts: u32) -> u32 {
    (0..attempts)
        .map(|_| u32::from(budget.withdraw(service, nodes)))
        .sum()
}

#[test]
fn each_service_has_its_own_budget() {
    let budget = Budget::new(LIMITS);
    let first = granted(&budget, "a", 10, 100);
    assert!(first > 0);
    assert_eq!(granted(&budget, "a", 10, 100), 0);
    assert_eq!(granted(&budget, "b", 10, 100), first);
}

#[test]
fn requests_made_by_retries_use_up_the_budget() {
    let budget = Budget::new(LIMITS);
    for _ in 0..100 {
        budget.record_request("a", 1.0);
    }
    assert_eq!(granted(&budget, "a", 100, 100), 0);
}

#[test]
fn the_budget_is_restored_after_the_window() {
    let limits = Limits {
        window: Duration::from_millis(50),
        ..LIMITS
    };
    let budget = Budget::new(limits);
    let first = granted(&budget, "a", 10, 100);
    std::thread::sleep(Duration::from_millis(80));
    assert_eq!(granted(&budget, "a", 10, 100), first);
}

proptest! {
    /// The retries of all nodes stay within the shared budget, however the requests are
    /// distributed.
    #[test]
    fn all_nodes_together_stay_within_the_budget(
        requests in prop::collection::vec(0_u32..200, 1..60)
    ) {
        let nodes = requests.len();
        let mut retries = 0;
        for node_requests in &requests {
            let budget = Budget::new(LIMITS);
            for _ in 0..*node_requests {
                budget.record_request("a", 0.0);
            }
            retries += granted(&budget, "a", nodes, 1_000);
        }
        let total_requests = f64::from(requests.iter().sum::<u32>());
        prop_assert!(f64::from(retries) <= LIMITS.ratio * total_requests + LIMITS.slack);
    }
}
