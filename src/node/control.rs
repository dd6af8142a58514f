//! The node's control listener, which serves JSON-RPC over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{ServerConfig, serve, stop_channel};
use jsonrpsee::types::ErrorObjectOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{Activity, MeteredBody, Places};
use crate::node::core::{Core, RegistrarMessage};
use crate::node::delivery;
use crate::peers::REGION_HEADER;
use crate::rollout::Tally;
use crate::roster::{Change, Member};
use crate::telemetry::CountedStream;
use crate::wire::{
    AnnounceReply, Claim, ControlServer, Delivery, Exchange, Grant, Owner, OwnerQuery, ProbeReply,
    Pull, PullReply, Settlement, Silence,
};

const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
/// Bytes reserved for each byte of a message: its text and its parsed form.
const MESSAGE_COST_FACTOR: usize = 3;
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
const PEERS_PER_ANNOUNCE_REPLY: usize = 4;
/// JSON-RPC error code for a delivery of a registrar whose epoch is not the highest known.
const STALE_EPOCH_CODE: i32 = -32_001;

/// The control listener. Bound at creation; accepts connections after [`Listener::start`].
pub(super) struct Listener {
    listener: std::sync::Mutex<Option<TcpListener>>,
    address: SocketAddr,
}

impl Listener {
    pub(super) fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = crate::http::bind(address)?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener: std::sync::Mutex::new(Some(listener)),
            address,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections until the sender of `stopped` is dropped.
    pub(super) fn start(&self, core: Arc<Core>, stopped: watch::Receiver<()>) {
        let mut listener = self
            .listener
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(listener) = listener.take() {
            tokio::spawn(accept(listener, core, stopped));
        }
    }
}

async fn accept(listener: TcpListener, core: Arc<Core>, mut stopped: watch::Receiver<()>) {
    let methods = Endpoint { core: core.clone() }.into_rpc();
    let (stop_handle, _server_handle) = stop_channel();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(u32::MAX)
        .build();
    let builder = jsonrpsee::server::Server::builder()
        .set_config(config)
        .to_service_builder();
    let places = Places::within(core.settings.resources.control_connections());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let Some(place) = places.enter(Some(&core.memory)) else {
            continue;
        };
        let activity = Activity::new(place, None, false);
        let _ = stream.set_nodelay(true);
        let connection = core.traffic.add_connection();
        let stream = CountedStream::new(stream, connection.clone());
        let service = builder.clone().build(methods.clone(), stop_handle.clone());
        let core = core.clone();
        let labelled = connection.clone();
        let requests = activity.clone();
        let memory = core.memory.clone();
        let service = tower::service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
            if let Some(region) = request.headers().get(REGION_HEADER) {
                labelled
                    .region
                    .get_or_init(|| region.to_str().unwrap_or_default().to_owned());
            }
            let mut service = service.clone();
            let running = requests.begin_request();
            let account = Arc::new(Mutex::new(memory.open()));
            async move {
                let request = request
                    .map(|body| MeteredBody::new(body, account.clone(), MESSAGE_COST_FACTOR));
                let answer = tower::Service::call(&mut service, request).await;
                drop((account, running));
                answer.map_err(|error| std::io::Error::other(error.to_string()))
            }
        });
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = serve(stream, service) => {}
                () = activity.lost() => {}
                _ = stopped.changed() => {}
            }
            core.traffic.remove_connection(&connection);
        });
    }
}

/// Handler of the control methods.
struct Endpoint {
    core: Arc<Core>,
}

impl Endpoint {
    fn announce_reply(&self, accepted: bool) -> AnnounceReply {
        AnnounceReply {
            registrar: self.core.lease.presumed_holder(),
            accepted,
            head: self.core.agent.head(),
            positions: self.core.with_view(crate::roster::View::positions),
            peers: self.core.random_peers(PEERS_PER_ANNOUNCE_REPLY),
        }
    }
}

#[async_trait]
impl ControlServer for Endpoint {
    async fn announce(&self, member: Member) -> RpcResult<AnnounceReply> {
        self.core.counters.count("announcements");
        let is_registrar_of_member = self.core.lease.presumed_holder().is_some()
            && member.data_center == self.core.settings.data_center;
        let is_queued = is_registrar_of_member
            && self
                .core
                .registrar_messages
                .try_send(RegistrarMessage::Announce(Box::new(member)))
                .is_ok();
        Ok(self.announce_reply(is_queued))
    }

    async fn deliver(&self, delivery: Delivery) -> RpcResult<Tally> {
        if !self.core.record_registrar(&delivery.registrar) {
            let message = "a newer registrar is known";
            return Err(ErrorObjectOwned::owned(
                STALE_EPOCH_CODE,
                message,
                None::<()>,
            ));
        }
        Ok(delivery::handle_delivery(&self.core, delivery).await)
    }

    async fn pull(&self, pull: Pull) -> RpcResult<PullReply> {
        let head = self.core.agent.head();
        let updates = self
            .core
            .with_view(|view| view.updates_after(&pull.positions));
        let head = (head.revision > pull.revision).then_some(head);
        Ok(PullReply { head, updates })
    }

    async fn exchange(&self, exchange: Exchange) -> RpcResult<()> {
        let message = RegistrarMessage::Exchange(exchange.updates, exchange.relay);
        let _ = self.core.registrar_messages.try_send(message);
        Ok(())
    }

    async fn silent(&self, silence: Silence) -> RpcResult<()> {
        let data_center = &self.core.settings.data_center;
        let member = self
            .core
            .with_view(|view| view.find(data_center, &silence.node));
        let current = member.filter(|member| member.incarnation == silence.incarnation);
        if let Some(member) = current {
            let _ = self
                .core
                .registrar_messages
                .try_send(RegistrarMessage::ProbeMember(Box::new((*member).clone())));
        }
        Ok(())
    }

    async fn probe(&self) -> RpcResult<ProbeReply> {
        let member = self.core.member();
        Ok(ProbeReply {
            node: member.node,
            incarnation: member.incarnation,
        })
    }

    async fn report(&self, change: Change) -> RpcResult<()> {
        if self.core.lease.presumed_holder().is_some() {
            let _ = self
                .core
                .registrar_messages
                .try_send(RegistrarMessage::Change(change));
        }
        Ok(())
    }

    async fn claim(&self, claim: Claim) -> RpcResult<Grant> {
        Ok(self.core.claims.claim(claim).await)
    }

    async fn settle(&self, settlement: Settlement) -> RpcResult<()> {
        self.core.claims.settle(settlement).await;
        Ok(())
    }

    async fn owner(&self, query: OwnerQuery) -> RpcResult<Option<Owner>> {
        Ok(self.core.claims.owner(query).await)
    }
}
