//! Claims of request keys at their holders.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::EntryProcess;
use crate::claim::{ClaimPlan, Claimant, may_claim};
use crate::model::{NodeName, Span, Time};
use crate::peer::{Call, ClaimAnswer, ClaimKey, Reply};
use crate::route::ClaimResult;

/// Longest time for a holder's answer.
const PATIENCE: Span = Span::from_millis(1_000);

/// Time for the release of a claim. Its holders forget it anyway after its lifetime.
const RELEASE: Span = Span::from_millis(5_000);

/// A claim that was asked for.
#[derive(Debug)]
pub(super) struct Claim {
    key: ClaimKey,
    claimant: Claimant,
}

impl EntryProcess {
    /// Claims a key until a time.
    pub(super) async fn claim(
        self: &Arc<Self>,
        key: ClaimKey,
        until: Time,
    ) -> (Claim, ClaimResult) {
        let lifetime = Span::from(self.process.settings.key_lifetime);
        let plan = if may_claim(self.process.board.age(), lifetime) {
            self.desk.decide(|now, state| state.sets.plan(now, &key))
        } else {
            ClaimPlan::default()
        };
        let claimant = Claimant::new(rand::random(), plan, until);
        let mut claim = Claim { key, claimant };
        let result = self.ask_holders(&mut claim, until).await;
        (claim, result)
    }

    async fn ask_holders(self: &Arc<Self>, claim: &mut Claim, until: Time) -> ClaimResult {
        let targets = claim.claimant.targets();
        let (answers, mut coming) = mpsc::channel(targets.len().max(1));
        for node in targets {
            let call = Call::Claim {
                key: claim.key.clone(),
                claimant: claim.claimant.id(),
                sets: claim.claimant.sets().to_vec(),
            };
            let (entry, answers) = (self.clone(), answers.clone());
            tokio::spawn(async move {
                let answer = entry.ask_holder(&node, call).await;
                let _ = answers.send((node, answer)).await;
            });
        }
        drop(answers);
        loop {
            let now = self.process.clock.now();
            if let Some(result) = claim.claimant.poll(now) {
                return result;
            }
            let left = until.since(now).to_std();
            if let Ok(Some((node, answer))) = tokio::time::timeout(left, coming.recv()).await {
                claim.claimant.answered(&node, answer);
            }
        }
    }

    async fn ask_holder(&self, node: &NodeName, call: Call) -> Option<ClaimAnswer> {
        let reply = if *node == self.process.node {
            self.answer_claim(&call)
        } else {
            self.peers.call(node, call, PATIENCE).await.ok()
        };
        match reply {
            Some(Reply::Claim(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Gives up a claim at all holders, in the background.
    pub(super) fn release(self: &Arc<Self>, claim: &Claim) {
        for node in claim.claimant.targets() {
            let call = Call::Release {
                key: claim.key.clone(),
                claimant: claim.claimant.id(),
            };
            if node == self.process.node {
                self.answer_claim(&call);
                continue;
            }
            let entry = self.clone();
            tokio::spawn(async move {
                if let Err(error) = entry.peers.call(&node, call, RELEASE).await {
                    log::debug!(peer:% = node, error:% = error; "a claim was not released");
                }
            });
        }
    }

    /// Answers a claim or release as a holder.
    pub(super) fn answer_claim(&self, call: &Call) -> Option<Reply> {
        self.desk.decide(|now, state| match call {
            Call::Claim {
                key,
                claimant,
                sets,
            } => {
                let answer = state.holder.claim(now, key, *claimant, sets, &state.sets);
                Some(Reply::Claim(answer))
            }
            Call::Release { key, claimant } => {
                state.holder.release(now, key, *claimant);
                Some(Reply::Claim(ClaimAnswer::Granted))
            }
            _ => None,
        })
    }
}
