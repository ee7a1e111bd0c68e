//! Selection of the gateways that watch an upstream, computed identically by all gateways.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns whether `me` is one of the `max_watchers` gateways that watch an upstream, selected
/// among `me` and the live `others` by rendezvous hashing.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::watches;
/// let all = ["g1", "g2", "g3", "g4", "g5"];
/// let others = |me: &str| all.iter().copied().filter(|n| *n != me).collect::<Vec<_>>();
/// let watchers = all.iter().filter(|me| watches("e1", me, others(me), 3)).count();
/// assert_eq!(watchers, 3);
/// ```
pub fn watches<'a>(
    upstream: &str,
    me: &str,
    others: impl IntoIterator<Item = &'a str>,
    max_watchers: usize,
) -> bool {
    let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
    let rank = |name: &str| (xxh3_64_with_seed(name.as_bytes(), seed), name.to_owned());
    let mine = rank(me);
    let before = others.into_iter().filter(|o| rank(o) > mine).count();
    before < max_watchers
}
