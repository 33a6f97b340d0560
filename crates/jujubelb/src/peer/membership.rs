//! Which processes are alive, judged by the age of their heartbeats.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{Heartbeat, Role};
use crate::model::{Incarnation, NodeName, Span, Time};

/// Heartbeats that may be lost before a process is suspected. To be tuned.
const SUSPECT_BEATS: u64 = 3;

/// Heartbeats that may be lost before a process is taken for gone. To be tuned.
const GONE_BEATS: u64 = 8;

/// Allowance for delays in the network and in the process.
const SLACK: Span = Span::from_millis(1_000);

/// Longest interval between heartbeats that is believed.
const LONGEST: Span = Span::from_secs(60);

/// Time after which a process that is gone is forgotten.
const FORGET: Span = Span::from_secs(3_600);

/// How a process stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
    pub beat: Heartbeat,
    /// When that was received.
    pub heard: Time,
    /// How it stands.
    pub standing: Standing,
}

/// A change that heartbeats, or their absence, brought.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// A heartbeat came in.
    Beat(Heartbeat),
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
    pub fn heard(&mut self, now: Time, beat: Heartbeat) -> Vec<News> {
        let mut news = Vec::new();
        let known = self.members.get(&beat.node);
        if known.is_some_and(|member| member.beat.incarnation != beat.incarnation) {
            news.push(News::Restarted(beat.node.clone(), beat.incarnation));
        }
        news.push(News::Beat(beat.clone()));
        let member = Member {
            heard: now,
            standing: Standing::Alive,
            beat,
        };
        self.members.insert(member.beat.node.clone(), member);
        news
    }

    /// Judges all processes by the age of their heartbeats.
    pub fn tick(&mut self, now: Time) -> Vec<News> {
        let mut news = Vec::new();
        for (node, member) in &mut self.members {
            let standing = judge(now.since(member.heard), member.beat.every);
            if standing == Standing::Gone && member.standing != Standing::Gone {
                news.push(News::Gone(node.clone()));
            }
            member.standing = standing;
        }
        self.members
            .retain(|_, member| now.since(member.heard) < FORGET);
        news
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
            .filter(|member| member.standing != Standing::Gone)
    }

    /// The present processes of a role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.present()
            .filter(move |member| member.beat.role == role)
    }

    /// Address of a process, as it stated in its last heartbeat.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        self.get(node).map(|member| member.beat.address)
    }
}

fn judge(age: Span, every: Span) -> Standing {
    let every = every.min(LONGEST).as_micros();
    let within = |beats: u64| age <= Span::from_micros(every * beats) + SLACK;
    match () {
        () if within(SUSPECT_BEATS) => Standing::Alive,
        () if within(GONE_BEATS) => Standing::Suspect,
        () => Standing::Gone,
    }
}
