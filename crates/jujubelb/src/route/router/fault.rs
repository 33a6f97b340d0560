/// A rule that a test breaks on purpose. No fault is ever set outside tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Send a non-idempotent request again after an unclear end.
    RetryNonIdempotent,
    /// Send to endpoints that are leaving.
    IgnoreLeaving,
    /// Send without the claim of the key.
    SkipClaim,
    /// Deliver the answer of an abandoned attempt.
    DeliverAbandoned,
    /// Send more than the share of an endpoint.
    IgnoreShare,
    /// Send after the deadline.
    IgnoreDeadline,
    /// Refuse as not run what was sent.
    ReportSentAsNotRun,
    /// Admit while draining.
    IgnoreDrain,
}
