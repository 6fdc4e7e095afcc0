//! Release notes and configurations.

use assert_matches::assert_matches;
use medlarlug_core::release::{Configuration, NoteError, RawNote, ReleaseNote};
use test_support::{note, region};

#[test]
fn accepted_note_raises_the_revision_by_one() {
    let current = Configuration::default();
    let note = ReleaseNote::try_from(note(0, vec![region("riga", &["riga-a"])])).unwrap();

    let next = note.apply(&current).unwrap();

    assert_eq!(next.revision, current.revision.next());
    assert_eq!(next.items().len(), 1);
}

#[test]
fn note_with_an_outdated_base_is_refused() {
    let first = ReleaseNote::try_from(note(0, vec![region("riga", &["riga-a"])])).unwrap();
    let current = first.apply(&Configuration::default()).unwrap();

    let second = ReleaseNote::try_from(note(0, vec![region("kurzeme", &["kurzeme-a"])])).unwrap();

    assert_matches!(second.apply(&current), Err(NoteError::Stale { .. }));
}

#[test]
fn note_that_lists_nothing_or_one_item_twice_is_refused() {
    let empty: RawNote = note(0, Vec::new());
    let twice = note(0, vec![region("riga", &["riga-a"]), region("riga", &["riga-b"])]);

    assert_matches!(ReleaseNote::try_from(empty), Err(NoteError::Empty));
    assert_matches!(ReleaseNote::try_from(twice), Err(NoteError::Repeated(_)));
}
