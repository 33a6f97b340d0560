//! The thread that exchanges heartbeats and calls with peers, and the handle to it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

use indexmap::IndexMap;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;

use super::client::Client;
use super::heartbeat_loop;
use super::key::{KeyError, KeyRing};
use super::seal::Header;
use super::server::{self, Handler};
use super::{Call, Counters, Heartbeat, Member, Membership, PeerEvent, Reply, Role};
use crate::config::Config;
use crate::model::{Code, DomainName, Incarnation, NodeName, Revision, ShardName, Span};
use crate::telemetry::{Clock, QueueSender};

/// Identity of this process and the settings for its peers.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Name of this process, unique in the deployment.
    pub node: NodeName,
    /// Changes with each start of the process.
    pub incarnation: Incarnation,
    /// Role, as stated in heartbeats.
    pub role: Role,
    /// Failure domain of this process.
    pub domain: DomainName,
    /// Address to bind for heartbeats (UDP) and calls (TCP).
    pub address: SocketAddr,
    /// Files with one key, or two during a rotation; the first is used for sending.
    pub keys: Vec<PathBuf>,
    /// Peers that are contacted before a configuration names them.
    pub seeds: IndexMap<NodeName, SocketAddr>,
}

/// Failure to start the thread for peers.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The keys can't be loaded.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The address can't be bound.
    #[error("can't bind the peer address {address}: {source}; check the setting `peers`")]
    Address {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The thread or its runtime can't be started.
    #[error("can't start the thread for peers: {0}")]
    Thread(std::io::Error),
}

/// Failure of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum CallError {
    /// The call was certainly not sent.
    #[error("the peer could not be reached: {0}")]
    Unavailable(String),
    /// The call was sent, and the peer may have executed it.
    #[error("the peer may have executed the call, but sent no valid reply: {0}")]
    Unknown(String),
}

impl CallError {
    /// The result code that corresponds to the failure.
    pub(crate) const fn code(&self) -> Code {
        match self {
            Self::Unavailable(_) => Code::PeerUnavailable,
            Self::Unknown(_) => Code::PeerUnknown,
        }
    }
}

/// State that the heartbeat loop, the client and the server share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) node: NodeName,
    pub(crate) incarnation: Incarnation,
    pub(crate) counters: Arc<Counters>,
    counter: AtomicU64,
    keys: Mutex<Arc<KeyRing>>,
}

impl SharedState {
    pub(crate) fn new(node: NodeName, incarnation: Incarnation, keys: KeyRing) -> Self {
        Self {
            node,
            incarnation,
            counters: Arc::default(),
            counter: AtomicU64::new(1),
            keys: Mutex::new(Arc::new(keys)),
        }
    }

    /// The active keys.
    pub(crate) fn keys(&self) -> Arc<KeyRing> {
        lock(&self.keys).clone()
    }

    /// Replaces the keys; returns whether they changed.
    pub(crate) fn set_keys(&self, keys: KeyRing) -> bool {
        let mut present = lock(&self.keys);
        let changed = **present != keys;
        *present = Arc::new(keys);
        changed
    }

    /// Creates the header of the next message. Each call advances the counter.
    pub(crate) fn header(&self) -> Header {
        Header {
            node: self.node.clone(),
            incarnation: self.incarnation,
            counter: self.counter.fetch_add(1, Relaxed),
        }
    }
}

/// State that the thread shares with its handles.
#[derive(Debug)]
pub(super) struct Inner {
    pub(super) shared: Arc<SharedState>,
    pub(super) clock: Clock,
    pub(super) domain: DomainName,
    pub(super) key_files: Vec<PathBuf>,
    pub(super) seeds: IndexMap<NodeName, SocketAddr>,
    pub(super) own_heartbeat: Mutex<Heartbeat>,
    pub(super) membership: Mutex<Membership>,
    pub(super) configured: Mutex<IndexMap<NodeName, (SocketAddr, DomainName)>>,
    pub(super) send_now: tokio::sync::Notify,
    client: Client,
    stop: watch::Sender<bool>,
}

/// A handle to the thread for peers. Clones refer to the same thread.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    inner: Arc<Inner>,
    runtime: Handle,
}

/// Owner of the thread behind [`Peers`]; dropping it stops the thread.
#[derive(Debug)]
pub(crate) struct PeerThread {
    inner: Arc<Inner>,
    thread: Option<JoinHandle<()>>,
}

impl Peers {
    /// Binds the address and starts the thread. Membership events go into the queue `events`.
    pub(crate) fn start<H: Handler>(
        identity: Identity,
        clock: Clock,
        handler: H,
        events: QueueSender<PeerEvent>,
    ) -> Result<(Self, PeerThread), PeerError> {
        let keys = KeyRing::read(&identity.keys)?;
        let address = identity.address;
        let failed = |source| PeerError::Address { address, source };
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(PeerError::Thread)?;
        let (listener, socket) = runtime.block_on(bind(address)).map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::new(SharedState::new(
            identity.node.clone(),
            identity.incarnation,
            keys,
        ));
        let inner = Arc::new(Inner {
            client: Client::new(shared.clone()),
            shared,
            clock,
            own_heartbeat: Mutex::new(initial_heartbeat(&identity, bound)),
            domain: identity.domain,
            key_files: identity.keys,
            seeds: identity.seeds,
            membership: Mutex::default(),
            configured: Mutex::default(),
            send_now: tokio::sync::Notify::new(),
            stop,
        });
        let peers = Self {
            inner: inner.clone(),
            runtime: runtime.handle().clone(),
        };
        let run = {
            let inner = inner.clone();
            move || run(&runtime, inner, listener, socket, handler, events, stopped)
        };
        let thread = std::thread::Builder::new()
            .name("peers".into())
            .spawn(run)
            .map_err(PeerError::Thread)?;
        let thread = Some(thread);
        Ok((peers, PeerThread { inner, thread }))
    }

    /// Name of this process.
    pub(crate) fn node(&self) -> &NodeName {
        &self.inner.shared.node
    }

    /// Address on which peers reach this process, with the port that was bound.
    pub(crate) fn address(&self) -> SocketAddr {
        lock(&self.inner.own_heartbeat).address
    }

    /// Counters of the traffic with peers.
    pub(crate) fn counters(&self) -> Arc<Counters> {
        self.inner.shared.counters.clone()
    }

    /// Changes the content of the next heartbeats.
    pub(crate) fn update_heartbeat(&self, change: impl FnOnce(&mut Heartbeat)) {
        change(&mut lock(&self.inner.own_heartbeat));
    }

    /// Marks this process as draining and sends heartbeats to all peers at once.
    pub(crate) fn announce_draining(&self) {
        self.update_heartbeat(|heartbeat| heartbeat.draining = true);
        self.inner.send_now.notify_one();
    }

    /// Current content of this process's heartbeats, not reduced to a datagram.
    pub(crate) fn own_heartbeat(&self) -> Heartbeat {
        lock(&self.inner.own_heartbeat).clone()
    }

    /// Replaces the configured peer addresses by those of a configuration.
    pub(crate) fn configure(&self, config: &Config) {
        let mut configured = IndexMap::new();
        for (name, host) in &config.hosts {
            for (role, address) in [("entry", host.entry), ("scheduler", host.scheduler)] {
                let node = NodeName::new(format!("{name}/{role}"));
                configured.insert(node, (address, host.domain.clone()));
            }
        }
        *lock(&self.inner.configured) = configured;
    }

    /// Names of all processes that are configured or in the membership, without this one.
    pub(crate) fn known_nodes(&self) -> Vec<NodeName> {
        let mut known: indexmap::IndexSet<NodeName> =
            lock(&self.inner.configured).keys().cloned().collect();
        self.with_membership(|members| {
            known.extend(members.iter().map(|member| member.heartbeat.node.clone()));
        });
        known.swap_remove(self.node());
        known.into_iter().collect()
    }

    /// Runs `look` on the membership while holding its lock.
    pub(crate) fn with_membership<T>(&self, look: impl FnOnce(&Membership) -> T) -> T {
        look(&lock(&self.inner.membership))
    }

    /// The processes that are not gone.
    pub(crate) fn present(&self) -> Vec<Member> {
        self.with_membership(|members| members.present().cloned().collect())
    }

    /// The owner of a shard according to heartbeats: the one with the highest epoch.
    pub(crate) fn owner_of(&self, shard: &ShardName) -> Option<NodeName> {
        self.with_membership(|members| {
            let owned = members.iter().flat_map(|member| &member.heartbeat.shards);
            let newest = owned.filter(|s| s.shard == *shard).max_by_key(|s| s.epoch);
            newest.map(|summary| summary.owner.clone())
        })
    }

    /// Address of a process: from its heartbeats, the configuration or the seeds.
    pub(crate) fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        let configured = || lock(&self.inner.configured).get(node).map(|(a, _)| *a);
        self.with_membership(|members| members.address(node))
            .or_else(configured)
            .or_else(|| self.inner.seeds.get(node).copied())
    }

    /// Calls a process by name, with a time limit. May be awaited on any runtime.
    pub(crate) async fn call(
        &self,
        node: &NodeName,
        call: Call,
        limit: Span,
    ) -> Result<Reply, CallError> {
        let Some(address) = self.address_of(node) else {
            return Err(CallError::Unavailable(format!(
                "the address of {node} is unknown"
            )));
        };
        let (inner, node) = (self.inner.clone(), node.clone());
        let task = async move { inner.client.call(&node, address, call, limit).await };
        self.runtime
            .spawn(task)
            .await
            .unwrap_or_else(|_| Err(stopping()))
    }

    /// Like [`Self::call`], for threads without a runtime. Blocks until the call ends.
    pub(crate) fn call_blocking(
        &self,
        node: &NodeName,
        call: Call,
        limit: Span,
    ) -> Result<Reply, CallError> {
        let (done, result) = std::sync::mpsc::sync_channel(1);
        let (peers, node) = (self.clone(), node.clone());
        self.runtime.spawn(async move {
            let _ = done.send(peers.call(&node, call, limit).await);
        });
        result.recv().unwrap_or_else(|_| Err(stopping()))
    }

    /// Spawns a task on the thread for peers.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }
}

impl PeerThread {
    /// Stops the thread and joins it. Calls in flight fail.
    pub(crate) fn stop(&mut self) {
        self.inner.stop.send_replace(true);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread for peers panicked");
        }
    }
}

impl Drop for PeerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds TCP first: with port 0 the system chooses a port, and UDP uses the same one.
async fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((listener, socket))
}

fn run<H: Handler>(
    runtime: &Runtime,
    inner: Arc<Inner>,
    listener: TcpListener,
    socket: UdpSocket,
    handler: H,
    events: QueueSender<PeerEvent>,
    mut stopped: watch::Receiver<bool>,
) {
    runtime.block_on(async {
        let calls = server::serve(
            listener,
            inner.shared.clone(),
            Arc::new(handler),
            stopped.clone(),
        );
        tokio::select! {
        () = calls => {}
        () = heartbeat_loop::run(&inner, &socket, events) => {}
        _ = stopped.wait_for(|stopped| *stopped) => {}
        }
    });
}

fn initial_heartbeat(identity: &Identity, address: SocketAddr) -> Heartbeat {
    Heartbeat {
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        role: identity.role,
        address,
        interval: Span::ZERO,
        domain: identity.domain.clone(),
        draining: false,
        revision: Revision::default(),
        evidence: None,
        loads: Vec::new(),
        shards: Vec::new(),
    }
}

fn stopping() -> CallError {
    CallError::Unknown("this process is stopping".to_owned())
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
