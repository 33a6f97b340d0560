//! One attempt to claim a key.

use indexmap::IndexMap;

use crate::model::{NodeName, Time};
use crate::peer::ClaimAnswer;
use crate::route::ClaimResult;

use super::{ClaimPlan, HostSetId};

/// State of one claim at all its holders. The wiring asks each of `targets`,
/// passes on the answers and, if the router says so, has the claim released at
/// each of `targets`.
#[derive(Debug, Clone)]
pub struct Claimant {
    id: u128,
    plan: ClaimPlan,
    /// Answer of each holder; `None` inside means that none will come.
    answers: IndexMap<NodeName, Option<ClaimAnswer>>,
    until: Time,
    result: Option<ClaimResult>,
}

impl Claimant {
    /// A claim under an identifier that no other attempt uses, to be decided by `until`.
    pub fn new(id: u128, plan: ClaimPlan, until: Time) -> Self {
        let mut claimant = Self {
            id,
            plan,
            answers: IndexMap::new(),
            until,
            result: None,
        };
        claimant.decide();
        claimant
    }

    /// The identifier of the claimant.
    pub fn id(&self) -> u128 {
        self.id
    }

    /// The host sets to name in the claim.
    pub fn sets(&self) -> &[HostSetId] {
        &self.plan.sets
    }

    /// The holders to ask, and to send the release to.
    pub fn targets(&self) -> Vec<NodeName> {
        let mut targets: Vec<_> = self.plan.groups.iter().flatten().cloned().collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// A holder answered, or certainly will not: `None`. Returns the result as
    /// soon as it is known.
    pub fn answered(
        &mut self,
        node: &NodeName,
        answer: Option<ClaimAnswer>,
    ) -> Option<ClaimResult> {
        if self.result.is_none() && self.plan.groups.iter().flatten().any(|n| n == node) {
            self.answers.entry(node.clone()).or_insert(answer);
            self.decide();
        }
        self.result
    }

    /// The result, or that there is none when the time is over.
    pub fn poll(&mut self, now: Time) -> Option<ClaimResult> {
        if self.result.is_none() && now >= self.until {
            self.result = Some(ClaimResult::Unavailable);
        }
        self.result
    }

    fn decide(&mut self) {
        let groups = &self.plan.groups;
        let count = |group: &Vec<NodeName>, wanted: fn(Option<&Option<ClaimAnswer>>) -> bool| {
            group
                .iter()
                .filter(|n| wanted(self.answers.get(*n)))
                .count()
        };
        let majority = |group: &Vec<NodeName>| group.len() / 2 + 1;
        let granted = |a: Option<&Option<ClaimAnswer>>| a == Some(&Some(ClaimAnswer::Granted));
        let held = |a: Option<&Option<ClaimAnswer>>| a == Some(&Some(ClaimAnswer::Held));
        let open = |a: Option<&Option<ClaimAnswer>>| a.is_none();
        let all_granted = groups.iter().all(|g| count(g, granted) >= majority(g));
        if all_granted && !groups.is_empty() {
            self.result = Some(ClaimResult::Granted);
        } else if groups.iter().any(|g| count(g, held) >= majority(g)) {
            // Earlier attempts hold so much that they were, or may yet be, granted.
            self.result = Some(ClaimResult::Held);
        } else {
            let may_grant = |g| count(g, granted) + count(g, open) >= majority(g);
            let may_hold = |g| count(g, held) + count(g, open) >= majority(g);
            let may_be_granted = !groups.is_empty() && groups.iter().all(may_grant);
            if !may_be_granted && !groups.iter().any(may_hold) {
                self.result = Some(ClaimResult::Unavailable);
            }
        }
    }
}
