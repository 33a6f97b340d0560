//! One attempt to claim a request key.

use indexmap::IndexMap;

use crate::model::{NodeName, Time};
use crate::peer::ClaimReply;
use crate::route::ClaimResult;

use super::{ClaimPlan, HostSetId};

/// State of one claim at all its holders. The entry process sends the claim to each of
/// `targets`, passes the answers to `answered` and, if the router requires it, sends a
/// release to each of `targets`.
#[derive(Debug, Clone)]
pub struct Claimant {
    id: u128,
    plan: ClaimPlan,
    /// Answer of each holder that responded; `None` if the call failed.
    answers: IndexMap<NodeName, Option<ClaimReply>>,
    deadline: Time,
    result: Option<ClaimResult>,
}

impl Claimant {
    /// Creates a claim with an identifier that no other claim uses, to be decided by
    /// `deadline`.
    pub fn new(id: u128, plan: ClaimPlan, deadline: Time) -> Self {
        let mut claimant = Self {
            id,
            plan,
            answers: IndexMap::new(),
            deadline,
            result: None,
        };
        claimant.decide();
        claimant
    }

    /// The identifier to send in the claim.
    pub fn id(&self) -> u128 {
        self.id
    }

    /// The host sets to send in the claim.
    pub fn sets(&self) -> &[HostSetId] {
        &self.plan.sets
    }

    /// The holders to send the claim and its release to, without duplicates.
    pub fn targets(&self) -> Vec<NodeName> {
        let mut targets: Vec<_> = self.plan.groups.iter().flatten().cloned().collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// Records a holder's answer, or `None` if the call to it failed. Returns the result
    /// as soon as it is certain.
    pub fn answered(&mut self, node: &NodeName, answer: Option<ClaimReply>) -> Option<ClaimResult> {
        if self.result.is_none() && self.plan.groups.iter().flatten().any(|n| n == node) {
            self.answers.entry(node.clone()).or_insert(answer);
            self.decide();
        }
        self.result
    }

    /// The result, if it is certain; `Unavailable` from the deadline on.
    pub fn poll(&mut self, now: Time) -> Option<ClaimResult> {
        if self.result.is_none() && now >= self.deadline {
            self.result = Some(ClaimResult::Unavailable);
        }
        self.result
    }

    fn decide(&mut self) {
        let groups = &self.plan.groups;
        let count = |group: &Vec<NodeName>, wanted: fn(Option<&Option<ClaimReply>>) -> bool| {
            group
                .iter()
                .filter(|n| wanted(self.answers.get(*n)))
                .count()
        };
        let majority = |group: &Vec<NodeName>| group.len() / 2 + 1;
        let granted = |a: Option<&Option<ClaimReply>>| a == Some(&Some(ClaimReply::Granted));
        let held = |a: Option<&Option<ClaimReply>>| a == Some(&Some(ClaimReply::Held));
        let missing = |a: Option<&Option<ClaimReply>>| a.is_none();
        let all_granted = groups.iter().all(|g| count(g, granted) >= majority(g));
        if all_granted && !groups.is_empty() {
            self.result = Some(ClaimResult::Granted);
        } else if groups.iter().any(|g| count(g, held) >= majority(g)) {
            // Earlier claims hold a majority, so one of them was granted or may still be.
            self.result = Some(ClaimResult::Held);
        } else {
            let may_grant = |g| count(g, granted) + count(g, missing) >= majority(g);
            let may_hold = |g| count(g, held) + count(g, missing) >= majority(g);
            let may_be_granted = !groups.is_empty() && groups.iter().all(may_grant);
            if !may_be_granted && !groups.iter().any(may_hold) {
                self.result = Some(ClaimResult::Unavailable);
            }
        }
    }
}
