//! Which processes are alive, judged by the age of their heartbeats.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{Heartbeat, Role};
use crate::model::{Incarnation, NodeName, Span, Time};

/// Heartbeats that may be lost before a process is suspected. To be tuned.
const SUSPECT_AFTER_INTERVALS: u64 = 3;

/// Heartbeats that may be lost before a process is taken for gone. To be tuned.
const GONE_AFTER_INTERVALS: u64 = 8;

/// Allowance for delays in the network and in the process.
const DELAY_ALLOWANCE: Span = Span::from_millis(1_000);

/// Longest interval between heartbeats that is believed.
const MAX_HEARTBEAT_INTERVAL: Span = Span::from_secs(60);

/// Time after which a process that is gone is forgotten.
const GONE_RETENTION: Span = Span::from_secs(3_600);

/// How a process stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It sends heartbeats.
    Alive,
    /// Some heartbeats are missing.
    Suspect,
    /// So many are missing that it counts as stopped or cut off.
    Gone,
}

/// A known process.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was received.
    pub received_at: Time,
    /// How it stands.
    pub liveness: Liveness,
}

/// A change that heartbeats, or their absence, brought.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A heartbeat came in.
    Heartbeat(Heartbeat),
    /// The process has another incarnation: it restarted.
    Restarted(NodeName, Incarnation),
    /// The process counts as stopped or cut off.
    Gone(NodeName),
}

/// The known processes.
#[derive(Debug, Default)]
pub struct Membership {
    members: IndexMap<NodeName, Member>,
}

impl Membership {
    /// Takes an authenticated heartbeat in.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> Vec<PeerEvent> {
        let mut events = Vec::new();
        let known = self.members.get(&heartbeat.node);
        if known.is_some_and(|member| member.heartbeat.incarnation != heartbeat.incarnation) {
            events.push(PeerEvent::Restarted(
                heartbeat.node.clone(),
                heartbeat.incarnation,
            ));
        }
        events.push(PeerEvent::Heartbeat(heartbeat.clone()));
        let member = Member {
            received_at: now,
            liveness: Liveness::Alive,
            heartbeat,
        };
        self.members.insert(member.heartbeat.node.clone(), member);
        events
    }

    /// Judges all processes by the age of their heartbeats.
    pub fn update_liveness(&mut self, now: Time) -> Vec<PeerEvent> {
        let mut events = Vec::new();
        for (node, member) in &mut self.members {
            let liveness =
                liveness_at_age(now.since(member.received_at), member.heartbeat.interval);
            if liveness == Liveness::Gone && member.liveness != Liveness::Gone {
                events.push(PeerEvent::Gone(node.clone()));
            }
            member.liveness = liveness;
        }
        self.members
            .retain(|_, member| now.since(member.received_at) < GONE_RETENTION);
        events
    }

    /// A process by name.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// All known processes, also those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The processes that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.liveness != Liveness::Gone)
    }

    /// The present processes of a role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.present()
            .filter(move |member| member.heartbeat.role == role)
    }

    /// Address of a process, as it stated in its last heartbeat.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        self.get(node).map(|member| member.heartbeat.address)
    }
}

fn liveness_at_age(age: Span, interval: Span) -> Liveness {
    let interval = interval.min(MAX_HEARTBEAT_INTERVAL).as_micros();
    let within = |beats: u64| age <= Span::from_micros(interval * beats) + DELAY_ALLOWANCE;
    match () {
        () if within(SUSPECT_AFTER_INTERVALS) => Liveness::Alive,
        () if within(GONE_AFTER_INTERVALS) => Liveness::Suspect,
        () => Liveness::Gone,
    }
}
