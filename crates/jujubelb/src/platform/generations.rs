//! Generations of the connections to each peer.
//!
//! The pool of an HTTP client keeps the idle connections of each host name apart. A peer whose idle
//! connections are suspect is therefore called by another name, which stands for the same address:
//! the pool finds no idle connection under it. This needs no further client, and the
//! connections to other peers stay in use.

use std::net::{IpAddr, SocketAddr};

use indexmap::IndexMap;
use reqwest::dns::{Addrs, Name, Resolve, Resolving};
use thiserror::Error;

use crate::model::{Span, Time};

/// Shortest time between two generations of a peer. The idle connections of a former generation
/// stay open for a minute; a peer that answers only some of the calls would otherwise
/// collect one set of them after each timeout, and workers accept 64 connections.
pub(super) const MIN_GENERATION_AGE: Span = Span::from_secs(10);

/// How long the generation of a peer is remembered. All connections of former ones are closed by
/// then, so that the peer may go without one.
const MAX_GENERATION_AGE: Span = Span::from_secs(600);

/// Begins the last label of a host name. A last label of digits would make it an IP address.
const LABEL_PREFIX: char = 'g';

/// The peers to which a call has timed out.
#[derive(Debug, Default)]
pub(super) struct PeerGenerations {
    peers: IndexMap<SocketAddr, Generation>,
    /// Number of the last generation of any peer, so that no name is used twice.
    last: u64,
}

#[derive(Debug, Clone, Copy)]
struct Generation {
    number: u64,
    began: Time,
}

impl PeerGenerations {
    /// Generation of the connections on which a peer is called; `None` for its first ones.
    pub(super) fn current(&self, peer: SocketAddr) -> Option<u64> {
        self.peers.get(&peer).map(|g| g.number)
    }

    /// Records that a call on a connection of a generation has timed out. Returns the number of
    /// the generation that begins, if any.
    pub(super) fn timed_out(
        &mut self,
        peer: SocketAddr,
        suspected: Option<u64>,
        now: Time,
    ) -> Option<u64> {
        let known = self.peers.get(&peer);
        // Of many calls that time out together the first one is enough.
        if known.map(|g| g.number) != suspected
            || known.is_some_and(|g| now.since(g.began) < MIN_GENERATION_AGE)
        {
            return None;
        }
        self.peers
            .retain(|_, g| now.since(g.began) < MAX_GENERATION_AGE);
        self.last += 1;
        let (number, began) = (self.last, now);
        self.peers.insert(peer, Generation { number, began });
        Some(number)
    }
}

/// Name that stands for an address in one generation.
pub(super) fn host_name(ip: IpAddr, generation: u64) -> String {
    let ip = ip.to_string().replace(':', "-");
    format!("{ip}.{LABEL_PREFIX}{generation}")
}

/// Address for which a name stands.
pub(super) fn parse_host_name(name: &str) -> Option<IpAddr> {
    let (ip, generation) = name.rsplit_once('.')?;
    let number = generation.strip_prefix(LABEL_PREFIX)?;
    number.parse::<u64>().ok()?;
    ip.replace('-', ":").parse().ok()
}

/// Resolves the names of generations. Nothing else is called by name.
#[derive(Debug)]
pub(super) struct GenerationResolver;

#[derive(Debug, Error)]
#[error("`{0}` is no name of a peer")]
struct UnknownName(String);

impl Resolve for GenerationResolver {
    fn resolve(&self, name: Name) -> Resolving {
        let resolved = match parse_host_name(name.as_str()) {
            // The port is that of the URL.
            Some(ip) => Ok(Box::new(std::iter::once(SocketAddr::new(ip, 0))) as Addrs),
            None => Err(UnknownName(name.as_str().to_owned()).into()),
        };
        Box::pin(std::future::ready(resolved))
    }
}
