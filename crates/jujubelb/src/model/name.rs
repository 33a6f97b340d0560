//! Names as shared immutable strings, with one type for each kind of thing that is named.

use arcstr::ArcStr;
use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, AsRef, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// Creates a name from text, which is not checked.
            pub fn new(text: impl Into<ArcStr>) -> Self {
                Self(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }
    )*};
}

names! {
    /// Name of a region: a group of failure domains with low latency between them.
    RegionName;
    /// Name of a failure domain: a group of hosts that can fail together.
    DomainName;
    /// Name of a rack of workers.
    RackName;
    /// Name of an entry host.
    HostName;
    /// Name of a process of the system, for example `entry-1` or `scheduler-1`.
    NodeName;
    /// Name of a worker.
    WorkerName;
    /// Name of a shard: a group of workers with one owner and one log.
    ShardName;
    /// Name of a latency-critical service.
    ServiceName;
    /// Name of an endpoint: one back end of a service.
    EndpointName;
    /// Name of a team, which has a quota.
    TeamName;
    /// Name of a customer: who submits jobs to a node under its keys, within limits.
    CustomerName;
    /// Name of a batch job or a watcher; unique in the deployment.
    JobName;
    /// Name of a class of tasks that are expected to behave alike.
    ClassName;
}
