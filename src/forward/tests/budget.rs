//! The budget of repeats.

use std::time::Duration;

use proptest::prelude::*;

use crate::forward::budget::{Budget, Limits};

const LIMITS: Limits = Limits {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

fn granted(budget: &Budget, service: &str, nodes: usize, asked: u32) -> u32 {
    (0..asked)
        .map(|_| u32::from(budget.withdraw(service, nodes)))
        .sum()
}

#[test]
fn services_have_budgets_of_their_own() {
    let budget = Budget::new(LIMITS);
    let first = granted(&budget, "a", 10, 100);
    assert!(first > 0);
    assert_eq!(granted(&budget, "a", 10, 100), 0);
    assert_eq!(granted(&budget, "b", 10, 100), first);
}

#[test]
fn calls_made_by_repeats_use_the_budget_up() {
    let budget = Budget::new(LIMITS);
    for _ in 0..100 {
        budget.request("a", 1.0);
    }
    assert_eq!(granted(&budget, "a", 100, 100), 0);
}

#[test]
fn the_budget_comes_back_after_the_window() {
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
    /// All nodes together stay inside the shared budget, however the requests are spread.
    #[test]
    fn all_nodes_together_stay_inside(requests in prop::collection::vec(0_u32..200, 1..60)) {
        let nodes = requests.len();
        let mut repeats = 0;
        for own in &requests {
            let budget = Budget::new(LIMITS);
            for _ in 0..*own {
                budget.request("a", 0.0);
            }
            repeats += granted(&budget, "a", nodes, 1_000);
        }
        let all = f64::from(requests.iter().sum::<u32>());
        prop_assert!(f64::from(repeats) <= LIMITS.ratio * all + LIMITS.slack);
    }
}
