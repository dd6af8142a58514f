//! Who reads the store for a data centre.

use std::time::Duration;

use super::{HEARTBEAT_TIMEOUT, Neighbours, STORE_GRACE, rank, watched};

fn names() -> Vec<String> {
    rank(["a", "b", "c", "d", "e", "f"].map(String::from).to_vec())
}

fn all_alive(ranked: &[String]) -> Neighbours {
    let mut neighbours = Neighbours::default();
    for node in ranked {
        neighbours.note(node, 1);
        neighbours.heard(node, true);
    }
    neighbours
}

#[test]
fn the_order_does_not_depend_on_who_ranks() {
    let mut shuffled = names();
    shuffled.reverse();
    assert_eq!(rank(shuffled), names());
}

#[test]
fn all_agree_on_the_first_that_is_alive() {
    let ranked = names();
    let neighbours = all_alive(&ranked);
    for own in &ranked {
        assert_eq!(neighbours.watcher(own, &ranked), Some(ranked[0].as_str()));
    }
}

#[test]
fn a_silent_node_is_passed_over() {
    let ranked = names();
    let mut neighbours = all_alive(&ranked);
    std::thread::sleep(HEARTBEAT_TIMEOUT + Duration::from_millis(20));
    for node in &ranked[1..] {
        neighbours.heard(node, true);
    }
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[1].as_str()));
}

#[test]
fn a_node_that_does_not_reach_the_store_is_passed_over_after_a_while() {
    let ranked = names();
    let mut neighbours = all_alive(&ranked);
    neighbours.heard(&ranked[0], false);
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
    std::thread::sleep(STORE_GRACE + Duration::from_millis(20));
    neighbours.heard(&ranked[0], false);
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[1].as_str()));
    neighbours.heard(&ranked[0], true);
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
}

#[test]
fn a_node_that_knows_nobody_is_its_own_watcher() {
    let ranked = names();
    let neighbours = Neighbours::default();
    assert_eq!(neighbours.watcher("c", &ranked), Some("c"));
}

#[test]
fn a_new_process_starts_with_a_clean_record() {
    let ranked = names();
    let mut neighbours = all_alive(&ranked);
    std::thread::sleep(HEARTBEAT_TIMEOUT + Duration::from_millis(20));
    neighbours.note(&ranked[0], 2);
    let last = ranked.last().unwrap();
    assert_eq!(neighbours.watcher(last, &ranked), Some(ranked[0].as_str()));
}

#[test]
fn each_node_watches_a_bounded_number_above_it() {
    let ranked = names();
    assert!(watched(&ranked[0], &ranked).is_empty());
    assert_eq!(watched(&ranked[1], &ranked), &ranked[..1]);
    assert_eq!(watched(&ranked[5], &ranked).len(), 4);
}
