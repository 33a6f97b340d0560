//! The stand-in store must satisfy the contract that fencing and ownership depend on.

use super::*;

#[test]
fn conditions_are_enforced() {
    let store = MemoryStore::default();
    let first = store.put("a", b"1", Expect::Absent, None).unwrap();
    let again = store.put("a", b"2", Expect::Absent, None);
    assert_eq!(
        again,
        Err(StoreError::Conflict {
            current: Some(first)
        })
    );
    let second = store.put("a", b"2", Expect::Version(first), None).unwrap();
    assert!(second > first);
    assert!(store.delete("a", Expect::Version(first)).is_err());
}

#[test]
fn lost_response_leaves_the_write_in_effect() {
    let store = MemoryStore::default();
    store.set_faults(Faults {
        lose: 1,
        ..Faults::default()
    });
    let lost = store.put("a", b"1", Expect::Absent, None);
    assert!(matches!(lost, Err(StoreError::Unknown(_))));
    assert_eq!(store.get("a").unwrap().unwrap().value, b"1");
}

#[test]
fn outage_refuses_without_effect() {
    let store = MemoryStore::default();
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(matches!(
        store.put("a", b"1", Expect::Any, None),
        Err(StoreError::Refused(_))
    ));
    store.set_faults(Faults::default());
    assert_eq!(store.get("a").unwrap(), None);
}

#[test]
fn keys_end_with_their_lease() {
    let store = MemoryStore::default();
    let lease = store.grant(Span::from_secs(60)).unwrap();
    store.put("a", b"1", Expect::Absent, Some(lease)).unwrap();
    store.revoke(lease).unwrap();
    assert_eq!(store.get("a").unwrap(), None);
    assert_eq!(store.renew(lease), Err(StoreError::LeaseEnded));
}

#[test]
fn list_gives_only_the_prefix_in_order() {
    let store = MemoryStore::default();
    for key in ["b/2", "a/1", "b/1", "b/3", "c/1"] {
        store.put(key, b"", Expect::Absent, None).unwrap();
    }
    let keys = |after| -> Vec<String> {
        let entries = store.list("b/", after, 2).unwrap();
        entries.into_iter().map(|e| e.key).collect()
    };
    assert_eq!(keys(""), ["b/1", "b/2"]);
    assert_eq!(keys("b/2"), ["b/3"]);
}
