//! Calls that owners make to other owners. Their answers come back through the
//! same queue as calls of peers.

use std::sync::Arc;

use super::Scheduler;
use super::owner::Asked;
use crate::journal::WriterId;
use crate::model::{Code, NodeName, ShardName, Span};
use crate::peer::{Call, Reply};
use crate::shard::{Cancellation, FormerOwnerStatus, Input, Offer};

/// Time for an answer. Owners repeat unanswered offers and cancellations.
const PATIENCE: Span = Span::from_millis(3_000);

/// Offers a task to the owner of another shard.
pub(super) fn offer(scheduler: &Arc<Scheduler>, offer: Offer) {
    let source = scheduler.clone();
    scheduler.peers.spawn(async move {
        let (shard, from) = (offer.to.clone(), offer.from.clone());
        let (task, attempt) = (offer.task.clone(), offer.attempt);
        let answer = match source
            .call_owner(&shard, Call::Offer(offer), PATIENCE)
            .await
        {
            Some(Reply::Offer(_, answer)) => answer,
            _ => None,
        };
        let input = Input::OfferReply(task, attempt, answer);
        source.put(Asked::Input(from, Box::new(input)));
    });
}

/// Passes a cancellation on to the owner of another shard.
pub(super) fn pass_cancel(scheduler: &Arc<Scheduler>, from: ShardName, cancel: Cancellation) {
    let source = scheduler.clone();
    scheduler.peers.spawn(async move {
        let (shard, call) = (cancel.shard.clone(), Call::Cancel(cancel.clone()));
        let code = match source.call_owner(&shard, call, PATIENCE).await {
            Some(Reply::Code(Code::NotOwner, _)) => None,
            Some(Reply::Code(code, _)) => Some(code),
            _ => None,
        };
        let input = Input::CancelReply(cancel, code);
        source.put(Asked::Input(from, Box::new(input)));
    });
}

/// Asks a former owner whether it still renews leases of the shard.
pub(super) fn ask_former(scheduler: &Arc<Scheduler>, shard: ShardName, former: WriterId) {
    let source = scheduler.clone();
    scheduler.peers.spawn(async move {
        if let Some(news) = news_of(&source, &shard, &former).await {
            let input = Input::FormerOwner(former, news);
            source.put(Asked::Input(shard, Box::new(input)));
        }
    });
}

async fn news_of(
    scheduler: &Scheduler,
    shard: &ShardName,
    former: &WriterId,
) -> Option<FormerOwnerStatus> {
    let own = &scheduler.process;
    if former.node == own.node {
        // An earlier term of this process has ended; an earlier process has too.
        return Some(match former.incarnation == own.incarnation {
            true => FormerOwnerStatus::StoppedRenewing,
            false => FormerOwnerStatus::Restarted(own.incarnation),
        });
    }
    let call = Call::Renewing(shard.clone());
    match scheduler.peers.call(&former.node, call, PATIENCE).await {
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
        limit: Span,
    ) -> Option<Reply> {
        if self.owns(shard) {
            let answer = self.ask(call);
            return tokio::time::timeout(limit.to_std(), answer).await.ok();
        }
        let owner: NodeName = self.peers.owner_of(shard)?;
        self.peers.call(&owner, call, limit).await.ok()
    }
}
