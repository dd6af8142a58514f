//! Tests of the assignment of claim shards to nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claim::SHARDS;
use crate::claim::owner::Assignments;
use crate::peers::Peers;
use crate::roster::{Member, Presence};
use crate::standin::{Layout, Mesh};
use crate::wire::OwnerQuery;

/// A serving member whose control listener is at `control`.
fn member(node: &str, control: SocketAddr) -> Arc<Member> {
    Arc::new(Member {
        node: node.into(),
        incarnation: 1,
        revision: 0,
        region: "region-0".into(),
        data_center: "region-0-0".into(),
        mesh: control,
        control,
        offer: None,
        presence: Presence::Serving,
    })
}

/// A registrar that lists one live node beside a killed one, whose port refuses connections, and
/// one that does not answer, with another node at its address.
async fn assigned_owner(shard: u32) -> Option<String> {
    let mesh = Mesh::start(&Layout::new(1, 1, 1)).unwrap();
    let live = mesh.nodes[0].as_ref().unwrap().addresses().control;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let members = [
        member("killed", closed),
        member("silent", live),
        member(&mesh.settings[0].node, live),
    ];
    let table = mesh.platform.handle().table;
    let assignments = Assignments::new(table, Arc::new(Peers::new("region-0")));
    let query = OwnerQuery {
        shard,
        failed: None,
    };
    let owner = assignments.owner(&members, query).await;
    owner.map(|owner| owner.node)
}

/// Guards against claims that are refused while several listed members do not answer: the owner
/// then alternated between them, and the lookups of a claim ended before they reached a live one.
#[tokio::test(flavor = "multi_thread")]
async fn a_shard_is_assigned_to_a_member_that_answers() {
    for shard in 0..SHARDS {
        let owner = assigned_owner(shard).await;
        assert_eq!(owner.as_deref(), Some("region-0-0-n0"), "shard {shard}");
    }
}
