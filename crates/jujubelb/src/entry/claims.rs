//! Claims of request keys at their holders.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::EntryProcess;
use crate::claim::{ClaimPlan, Claimant, may_claim};
use crate::model::{NodeName, Span, Time};
use crate::peer::{Call, ClaimKey, ClaimReply, Reply};
use crate::route::ClaimResult;

/// Time for a holder's answer to a claim.
const CLAIM_CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// Time for the release of a claim. If it fails, the claim expires at its holders.
const RELEASE_TIMEOUT: Span = Span::from_millis(5_000);

/// A claim that was sent to its holders.
#[derive(Debug)]
pub(super) struct KeyClaim {
    key: ClaimKey,
    claimant: Claimant,
}

impl EntryProcess {
    /// Claims a key at its holders. The claim is unavailable if it is not decided by
    /// `until`, or if the configuration was not confirmed recently enough.
    pub(super) async fn claim_key(
        self: &Arc<Self>,
        key: ClaimKey,
        until: Time,
    ) -> (KeyClaim, ClaimResult) {
        let lifetime = Span::from(self.process.settings.key_lifetime);
        let plan = if may_claim(self.process.active_config.evidence_age(), lifetime) {
            self.shared_router
                .with_state(|now, state| state.sets.plan(now, &key))
        } else {
            ClaimPlan::default()
        };
        let claimant = Claimant::new(rand::random(), plan, until);
        let mut claim = KeyClaim { key, claimant };
        let result = self.claim_at_holders(&mut claim, until).await;
        (claim, result)
    }

    async fn claim_at_holders(self: &Arc<Self>, claim: &mut KeyClaim, until: Time) -> ClaimResult {
        let targets = claim.claimant.targets();
        let (reply_sender, mut replies) = mpsc::channel(targets.len().max(1));
        for node in targets {
            let call = Call::Claim {
                key: claim.key.clone(),
                claimant: claim.claimant.id(),
                sets: claim.claimant.sets().to_vec(),
            };
            let (entry, reply_sender) = (self.clone(), reply_sender.clone());
            tokio::spawn(async move {
                let answer = entry.claim_at_holder(&node, call).await;
                let _ = reply_sender.send((node, answer)).await;
            });
        }
        drop(reply_sender);
        loop {
            let now = self.process.clock.now();
            if let Some(result) = claim.claimant.poll(now) {
                return result;
            }
            let remaining = until.since(now).to_std();
            if let Ok(Some((node, answer))) = tokio::time::timeout(remaining, replies.recv()).await
            {
                claim.claimant.answered(&node, answer);
            }
        }
    }

    async fn claim_at_holder(&self, node: &NodeName, call: Call) -> Option<ClaimReply> {
        let reply = if *node == self.process.node {
            self.handle_claim(&call)
        } else {
            self.peers.call(node, call, CLAIM_CALL_TIMEOUT).await.ok()
        };
        match reply {
            Some(Reply::Claim(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Releases a claim at all its holders, in the background.
    pub(super) fn release_claim(self: &Arc<Self>, claim: &KeyClaim) {
        for node in claim.claimant.targets() {
            let call = Call::Release {
                key: claim.key.clone(),
                claimant: claim.claimant.id(),
            };
            if node == self.process.node {
                self.handle_claim(&call);
                continue;
            }
            let entry = self.clone();
            tokio::spawn(async move {
                if let Err(error) = entry.peers.call(&node, call, RELEASE_TIMEOUT).await {
                    log::debug!(peer:% = node, error:% = error; "a claim could not be released, it expires at the holder");
                }
            });
        }
    }

    /// Handles a claim or release as a holder. Returns `None` for other calls.
    pub(super) fn handle_claim(&self, call: &Call) -> Option<Reply> {
        self.shared_router.with_state(|now, state| match call {
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
                Some(Reply::Claim(ClaimReply::Granted))
            }
            _ => None,
        })
    }
}
