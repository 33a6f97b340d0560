//! Membership and failure detection: the liveness of processes follows from the age of
//! their last heartbeat.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{Heartbeat, Role};
use crate::model::{Incarnation, NodeName, Span, Time};

/// Heartbeat intervals without a heartbeat after which a process is suspected.
const SUSPECT_AFTER_INTERVALS: u64 = 3;

/// Heartbeat intervals without a heartbeat after which a process is considered gone.
const GONE_AFTER_INTERVALS: u64 = 8;

/// Added to the age limits for delays in the network and in the processes.
const DELAY_ALLOWANCE: Span = Span::from_millis(1_000);

/// Upper bound for the interval that a process states, so that a huge one can't keep it
/// alive forever.
const MAX_HEARTBEAT_INTERVAL: Span = Span::from_secs(60);

/// Time after its last heartbeat at which a process is removed from the membership.
const GONE_RETENTION: Span = Span::from_secs(3_600);

/// State of a process according to the age of its last heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats are overdue, but not for long enough to be considered gone.
    Suspect,
    /// Overdue for so long that the process is considered stopped or unreachable.
    Gone,
}

/// A process that sent a heartbeat within the last hour.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Last accepted heartbeat.
    pub heartbeat: Heartbeat,
    /// When that heartbeat was received.
    pub received_at: Time,
    /// State as of the last call of [`Membership::update_liveness`] or the last heartbeat.
    pub liveness: Liveness,
}

/// An event caused by a heartbeat or by missing ones.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A heartbeat was received.
    Heartbeat(Heartbeat),
    /// The process restarted: its heartbeat carries a different incarnation.
    Restarted(NodeName, Incarnation),
    /// The process became [`Liveness::Gone`].
    Gone(NodeName),
}

/// The processes that sent heartbeats, by name.
#[derive(Debug, Default)]
pub struct Membership {
    members: IndexMap<NodeName, Member>,
}

impl Membership {
    /// Records an authenticated heartbeat.
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

    /// Recomputes the liveness of all processes from the age of their heartbeats.
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

    /// Returns a process by name.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// All known processes, including those that are gone.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The processes that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.liveness != Liveness::Gone)
    }

    /// The processes of a role that are not gone.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.present()
            .filter(move |member| member.heartbeat.role == role)
    }

    /// Address that a process stated in its last heartbeat.
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
