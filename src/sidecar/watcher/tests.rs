//! Tests of the election of the watcher.

use std::time::Duration;

use super::{Neighbours, STATUS_TIMEOUT, STORE_GRACE, monitored, rank};

fn ranked_names() -> Vec<String> {
    rank(["a", "b", "c", "d", "e", "f"].map(String::from).to_vec())
}

fn all_alive(ranked: &[String]) -> Neighbours {
    let mut neighbours = Neighbours::default();
    for node in ranked {
        neighbours.track(node, 1);
        neighbours.record_status(node, true);
    }
    neighbours
}

#[test]
fn the_rank_does_not_depend_on_the_input_order() {
    let mut shuffled = ranked_names();
    shuffled.reverse();
    assert_eq!(rank(shuffled), ranked_names());
}

#[test]
fn all_nodes_elect_the_first_that_is_alive() {
    let ranked = ranked_names();
    let neighbours = all_alive(&ranked);
    for own in &ranked {
        assert_eq!(neighbours.watcher(own, &ranked), Some(ranked[0].as_str()));
    }
}

#[test]
fn a_node_that_stops_responding_is_not_elected() {
    let ranked = ranked_names();
    let mut neighbours = all_alive(&ranked);
    std::thread::sleep(STATUS_TIMEOUT + Duration::from_millis(20));
    for node in &ranked[1..] {
        neighbours.record_status(node, true);
    }
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[1].as_str()));
}

#[test]
fn a_node_that_does_not_reach_the_store_is_not_elected_after_the_grace_time() {
    let ranked = ranked_names();
    let mut neighbours = all_alive(&ranked);
    neighbours.record_status(&ranked[0], false);
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
    std::thread::sleep(STORE_GRACE + Duration::from_millis(20));
    neighbours.record_status(&ranked[0], false);
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[1].as_str()));
    neighbours.record_status(&ranked[0], true);
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
}

#[test]
fn a_node_without_known_neighbours_is_its_own_watcher() {
    let ranked = ranked_names();
    let neighbours = Neighbours::default();
    assert_eq!(neighbours.watcher("c", &ranked), Some("c"));
}

#[test]
fn a_restarted_node_is_eligible_again() {
    let ranked = ranked_names();
    let mut neighbours = all_alive(&ranked);
    std::thread::sleep(STATUS_TIMEOUT + Duration::from_millis(20));
    neighbours.track(&ranked[0], 2);
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
}

#[test]
fn each_node_pings_a_bounded_number_of_higher_ranked_nodes() {
    let ranked = ranked_names();
    assert!(monitored(&ranked[0], &ranked).is_empty());
    assert_eq!(monitored(&ranked[1], &ranked), &ranked[..1]);
    assert_eq!(monitored(&ranked[5], &ranked).len(), 4);
}
