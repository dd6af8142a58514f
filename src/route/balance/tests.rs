//! Tests of which targets are chosen.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Balancer, Locality};
use crate::bundle::ClassKind;
use crate::roster::{Member, Presence, Roster};
use crate::route::Endpoint;

const GROUP: &str = "depot";

fn member(node: &str) -> Arc<Member> {
    let address = "127.0.0.1:1".parse().unwrap();
    Arc::new(Member {
        node: node.into(),
        incarnation: 1,
        revision: 0,
        region: "r".into(),
        data_center: "d".into(),
        mesh: address,
        control: address,
        offer: None,
        presence: Presence::Serving,
    })
}

fn balancer(nodes: &[&str]) -> Balancer {
    let balancer = Balancer::new(
        Locality {
            region: "r".into(),
            data_center: "d".into(),
        },
        34,
    );
    let members = nodes.iter().map(|node| member(node)).collect();
    balancer.update(&Roster {
        groups: HashMap::from([(GROUP.to_owned(), members)]),
        ..Roster::default()
    });
    balancer
}

fn choose(balancer: &Balancer) -> Option<Arc<Endpoint>> {
    balancer.choose(GROUP, ClassKind::Short, &[])
}

/// Guards against a group whose only target is healthy for most requests and gets none, because a few
/// requests fail there again and again.
#[test]
fn an_ejected_target_is_chosen_if_there_is_no_other() {
    let balancer = balancer(&["only"]);
    choose(&balancer).unwrap().eject();
    assert!(choose(&balancer).is_some());
}

#[test]
fn an_ejected_target_is_left_out_if_there_is_another() {
    let balancer = balancer(&["one", "other"]);
    let ejected = choose(&balancer).unwrap();
    ejected.eject();
    for _ in 0..20 {
        let chosen = choose(&balancer).unwrap();
        assert_ne!(chosen.member.node, ejected.member.node);
    }
}
