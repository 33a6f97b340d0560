use indexmap::IndexSet;

use super::contained;
use crate::emulator::customers::Key;

/// Guards against a search that misses a key, and against a history in which a key stands itself:
/// it could not tell then which log the key comes from.
#[test]
fn keys_are_found_in_an_output_and_are_not_shown() {
    let key = |id: &str, text: &str| Key {
        id: id.into(),
        text: text.into(),
    };
    let keys: IndexSet<Key> = [key("a-1", "qwertz"), key("b-1", "asdfgh")].into();
    let found: Vec<&Key> = contained(&keys, "key=\"asdfgh\" answered 200").collect();
    assert_eq!(found, [&keys[1]]);
    assert_eq!(format!("{:?}", keys[1]), "Key(b-1)");
}
