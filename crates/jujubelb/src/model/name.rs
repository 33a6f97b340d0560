//! Names as shared immutable strings, one type for each kind of thing.

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
            /// Makes a name from text.
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
    /// A region: a group of failure domains with short delays between them.
    RegionName;
    /// A failure domain.
    DomainName;
    /// A rack of workers.
    RackName;
    /// An entry host.
    HostName;
    /// A process of the system, for example `entry-1` or `scheduler-1`.
    NodeName;
    /// A worker.
    WorkerName;
    /// A shard of workers with one owner and one log.
    ShardName;
    /// A latency-critical service.
    ServiceName;
    /// A back end of a service.
    EndpointName;
    /// A team with a quota.
    TeamName;
    /// A batch job or a watcher; unique in the deployment.
    JobName;
    /// A class of tasks that are expected to behave alike.
    ClassName;
}
