//! Calls from owners to other owners. Replies arrive on the owner thread's request
//! queue, like the calls of peers.

use std::sync::Arc;

use super::Scheduler;
use super::owner_thread::OwnerRequest;
use crate::journal::WriterId;
use crate::model::{Code, NodeName, ShardName, Span};
use crate::peer::{Call, Reply};
use crate::shard::{Cancellation, FormerOwnerStatus, Input, Offer};

/// Longest wait for a reply. Owners repeat unanswered offers and cancellations.
const CALL_TIMEOUT: Span = Span::from_millis(3_000);

/// Offers a task to the owner of another shard.
pub(super) fn send_offer(scheduler: &Arc<Scheduler>, offer: Offer) {
    let caller = scheduler.clone();
    scheduler.peers.spawn(async move {
        let (shard, from) = (offer.to.clone(), offer.from.clone());
        let (task, attempt) = (offer.task.clone(), offer.attempt);
        let answer = match caller
            .call_owner(&shard, Call::Offer(offer), CALL_TIMEOUT)
            .await
        {
            Some(Reply::Offer(_, answer)) => answer,
            _ => None,
        };
        let input = Input::OfferReply(task, attempt, answer);
        caller.send_request(OwnerRequest::Input(from, Box::new(input)));
    });
}

/// Forwards a cancellation to the owner of another shard.
pub(super) fn forward_cancel(scheduler: &Arc<Scheduler>, from: ShardName, cancel: Cancellation) {
    let caller = scheduler.clone();
    scheduler.peers.spawn(async move {
        let (shard, call) = (cancel.shard.clone(), Call::Cancel(cancel.clone()));
        let code = match caller.call_owner(&shard, call, CALL_TIMEOUT).await {
            Some(Reply::Code(Code::NotOwner, _)) => None,
            Some(Reply::Code(code, _)) => Some(code),
            _ => None,
        };
        let input = Input::CancelReply(cancel, code);
        caller.send_request(OwnerRequest::Input(from, Box::new(input)));
    });
}

/// Asks a former owner whether it still renews leases of the shard.
pub(super) fn query_former_owner(scheduler: &Arc<Scheduler>, shard: ShardName, former: WriterId) {
    let caller = scheduler.clone();
    scheduler.peers.spawn(async move {
        if let Some(status) = former_owner_status(&caller, &shard, &former).await {
            let input = Input::FormerOwner(former, status);
            caller.send_request(OwnerRequest::Input(shard, Box::new(input)));
        }
    });
}

async fn former_owner_status(
    scheduler: &Scheduler,
    shard: &ShardName,
    former: &WriterId,
) -> Option<FormerOwnerStatus> {
    let local = &scheduler.process;
    if former.node == local.node {
        // The former owner is an earlier term of this process or an earlier process
        // of this node; both have ended.
        return Some(match former.incarnation == local.incarnation {
            true => FormerOwnerStatus::StoppedRenewing,
            false => FormerOwnerStatus::Restarted(local.incarnation),
        });
    }
    let call = Call::Renewing(shard.clone());
    match scheduler.peers.call(&former.node, call, CALL_TIMEOUT).await {
        Ok(Reply::Renewing(_, incarnation)) if incarnation != former.incarnation => {
            Some(FormerOwnerStatus::Restarted(incarnation))
        }
        Ok(Reply::Renewing(false, _)) => Some(FormerOwnerStatus::StoppedRenewing),
        _ => None,
    }
}

impl Scheduler {
    /// Calls the owner of a shard, which may be this process.
    pub(super) async fn call_owner(
        &self,
        shard: &ShardName,
        call: Call,
        timeout: Span,
    ) -> Option<Reply> {
        if self.owns(shard) {
            let answer = self.ask(call);
            return tokio::time::timeout(timeout.to_std(), answer).await.ok();
        }
        let owner: NodeName = self.peers.owner_of(shard)?;
        self.peers.call(&owner, call, timeout).await.ok()
    }
}
