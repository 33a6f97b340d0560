/// A fault that tests inject to check that they detect it. Never set outside tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Send a non-idempotent request again after it may have run.
    RetryNonIdempotent,
    /// Send to endpoints that are leaving.
    IgnoreLeaving,
    /// Send without claiming the key.
    SkipClaim,
    /// Deliver the response of an abandoned attempt.
    DeliverAbandoned,
    /// Send more requests to an endpoint than its limit.
    IgnoreShare,
    /// Send after the deadline.
    IgnoreDeadline,
    /// Report requests that may have run as not run.
    ReportSentAsNotRun,
    /// Admit requests while draining.
    IgnoreDrain,
}
