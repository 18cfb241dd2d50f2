//! Items that are sent several times, since datagrams get lost.

/// Returns the items to send now and decrements the number of sends left of each; drops items with none left.
pub fn take_repeated<T: Clone>(items: &mut Vec<(T, u8)>) -> Vec<T> {
    let due = items.iter().map(|(item, _)| item.clone()).collect();
    for (_, left) in items.iter_mut() {
        *left -= 1;
    }
    items.retain(|(_, left)| *left > 0);
    due
}
