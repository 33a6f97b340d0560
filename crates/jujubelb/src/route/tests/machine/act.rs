//! What may happen. Indexes are taken modulo the number of things there are.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// An event of the world.
#[derive(Debug, Clone)]
pub(super) enum Act {
    /// A caller sends a new request to a host.
    Call {
        host: usize,
        idempotent: bool,
        keyed: bool,
        batch: bool,
        deadline: u64,
    },
    /// A caller without a result repeats its request, perhaps at another host.
    Retry { call: usize, host: usize },
    /// A host asks for the next step of a request.
    Next { call: usize },
    /// All open requests are asked for, in order.
    NextAll,
    /// A message of a claim arrives, and its answer unless it is lost. `again`
    /// leaves the message on its way to arrive once more.
    Claim {
        message: usize,
        lost: bool,
        again: bool,
    },
    /// All messages of claims arrive.
    ClaimAll,
    /// A message of a claim is lost.
    LoseClaim { message: usize },
    /// A request reaches its endpoint.
    Arrive { flight: usize },
    /// All requests reach their endpoints.
    ArriveAll,
    /// An answer reaches its host.
    Answer { flight: usize, leaving: bool },
    /// All answers reach their hosts.
    AnswerAll,
    /// A connection breaks; the request may still arrive.
    Break { flight: usize },
    /// The caller hangs up.
    HangUp { call: usize },
    /// An endpoint dies, returns or starts to leave.
    Endpoint { endpoint: usize, state: u8 },
    /// All endpoints die, return or start to leave.
    Endpoints { state: u8 },
    /// A host reads the host list.
    HostList { host: usize },
    /// The operators declare whether an endpoint leaves.
    Declare { endpoint: usize, leaving: bool },
    /// A host dies with all that it knows.
    Kill { host: usize },
    /// A host starts again.
    Start { host: usize },
    /// A host begins to stop.
    Drain { host: usize },
    /// The operators change the set of entry hosts.
    Hosts { mask: u8 },
    /// A host takes over the configuration.
    Configure { host: usize },
    /// Heartbeats are exchanged.
    Heartbeats,
    /// Time passes, in milliseconds.
    Advance { by: u64 },
}

/// The reference has no state: every act is possible at any time.
pub(super) struct Acts;

impl ReferenceStateMachine for Acts {
    type State = ();
    type Transition = Act;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Act> {
        let i = 0..64usize;
        prop_oneof![
            14 => requests(),
            6 => (i.clone(), i.clone()).prop_map(|(call, host)| Act::Retry { call, host }),
            8 => i.clone().prop_map(|call| Act::Next { call }),
            14 => Just(Act::NextAll),
            6 => (i.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(message, lost, again)| Act::Claim { message, lost, again }),
            8 => Just(Act::ClaimAll),
            1 => i.clone().prop_map(|message| Act::LoseClaim { message }),
            6 => i.clone().prop_map(|flight| Act::Arrive { flight }),
            6 => Just(Act::ArriveAll),
            6 => (i.clone(), prop::bool::weighted(0.1))
                .prop_map(|(flight, leaving)| Act::Answer { flight, leaving }),
            4 => Just(Act::AnswerAll),
            4 => i.clone().prop_map(|flight| Act::Break { flight }),
            2 => i.clone().prop_map(|call| Act::HangUp { call }),
            12 => disturbances(),
            6 => (0..300u64).prop_map(|by| Act::Advance { by }),
            1 => (1_000..13_000u64).prop_map(|by| Act::Advance { by }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Act) {}
}

/// Acts around claims: keyed requests with unclear ends, callers that retry, and
/// holders that come and go.
pub(super) struct ClaimActs;

impl ReferenceStateMachine for ClaimActs {
    type State = ();
    type Transition = Act;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Act> {
        let i = 0..64usize;
        prop_oneof![
            2 => (i.clone(), 500..1_000u64).prop_map(|(host, deadline)| Act::Call {
                host,
                idempotent: false,
                keyed: true,
                batch: false,
                deadline,
            }),
            8 => (i.clone(), i.clone()).prop_map(|(call, host)| Act::Retry { call, host }),
            14 => Just(Act::NextAll),
            10 => Just(Act::ClaimAll),
            4 => (i.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(message, lost, again)| Act::Claim { message, lost, again }),
            8 => Just(Act::ArriveAll),
            6 => i.clone().prop_map(|flight| Act::Break { flight }),
            5 => i.clone().prop_map(|host| Act::Kill { host }),
            7 => i.clone().prop_map(|host| Act::Start { host }),
            1 => any::<u8>().prop_map(|mask| Act::Hosts { mask }),
            2 => i.prop_map(|host| Act::Configure { host }),
            3 => (0..600u64).prop_map(|by| Act::Advance { by }),
            1 => (6_000..13_000u64).prop_map(|by| Act::Advance { by }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Act) {}
}

fn requests() -> impl Strategy<Value = Act> {
    let flags = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.2));
    (0..64usize, flags, 1..1_000u64).prop_map(|(host, (idempotent, keyed, batch), deadline)| {
        Act::Call {
            host,
            idempotent,
            keyed,
            batch,
            deadline,
        }
    })
}

fn disturbances() -> impl Strategy<Value = Act> {
    let i = 0..64usize;
    prop_oneof![
        4 => (i.clone(), 0..3u8).prop_map(|(endpoint, state)| Act::Endpoint { endpoint, state }),
        1 => (0..3u8).prop_map(|state| Act::Endpoints { state }),
        3 => i.clone().prop_map(|host| Act::HostList { host }),
        1 => (i.clone(), any::<bool>())
            .prop_map(|(endpoint, leaving)| Act::Declare { endpoint, leaving }),
        1 => i.clone().prop_map(|host| Act::Kill { host }),
        3 => i.clone().prop_map(|host| Act::Start { host }),
        1 => i.clone().prop_map(|host| Act::Drain { host }),
        1 => any::<u8>().prop_map(|mask| Act::Hosts { mask }),
        3 => i.prop_map(|host| Act::Configure { host }),
        3 => Just(Act::Heartbeats),
    ]
}
