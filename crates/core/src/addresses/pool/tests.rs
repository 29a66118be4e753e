use super::*;

const S: Time = 1_000_000;

fn endpoint(n: u16) -> Endpoint {
    Endpoint::Tcp(([127, 0, 0, 1], n).into())
}

fn pool() -> Pool<u32> {
    Pool::new(ConnectionLimits {
        max_idle_per_address: 2,
        idle_timeout: 20 * S,
        max_age: 60 * S,
        max_uses: 3,
        ..ConnectionLimits::default()
    })
}

#[test]
fn the_most_recently_used_is_taken_first_and_surplus_ones_are_closed() {
    let mut pool = pool();
    for conn in 0..3 {
        pool.put(S, &endpoint(1), conn, ConnectionAge::new(0), false);
    }
    assert_eq!(pool.take_closing(), [2]);
    let rested = S + MIN_REST;
    assert_eq!(pool.take(rested, &endpoint(1)).map(|(conn, _)| conn), Some(1));
    assert_eq!(pool.take(rested, &endpoint(2)), None);
}

/// Guards against a late second answer that is taken for the answer to the next request (`review/6`).
#[test]
fn a_connection_is_taken_only_after_its_rest() {
    let mut pool = pool();
    pool.put(S, &endpoint(1), 1, ConnectionAge::new(0), false);
    pool.put(S + MIN_REST / 2, &endpoint(1), 2, ConnectionAge::new(0), false);
    assert_eq!(pool.take(S + MIN_REST - 1, &endpoint(1)), None);
    let taken = |pool: &mut Pool<u32>, at| pool.take(at, &endpoint(1)).map(|(conn, _)| conn);
    assert_eq!(taken(&mut pool, S + MIN_REST), Some(1), "the newer one still rests");
    assert_eq!(taken(&mut pool, S + MIN_REST), None);
    assert_eq!(taken(&mut pool, S + 2 * MIN_REST), Some(2));
    assert!(pool.take_closing().is_empty());
}

#[test]
fn idle_old_and_worn_out_connections_are_closed() {
    let mut pool = pool();
    pool.put(S, &endpoint(1), 1, ConnectionAge::new(0), false);
    assert_eq!(pool.take(21 * S, &endpoint(1)), None, "idle for too long");
    pool.put(59 * S, &endpoint(1), 2, ConnectionAge::new(0), false);
    assert_eq!(pool.take(60 * S, &endpoint(1)), None, "too old");
    pool.put(S, &endpoint(1), 3, ConnectionAge { opened_at: 0, uses: 3 }, false);
    pool.put(S, &endpoint(1), 4, ConnectionAge::new(0), true);
    assert_eq!(pool.take_closing(), [1, 2, 3, 4]);
    pool.put(S, &endpoint(1), 5, ConnectionAge::new(0), false);
    pool.put(5 * S, &endpoint(2), 6, ConnectionAge::new(0), false);
    pool.sweep(6 * S, |at| *at == endpoint(2));
    assert_eq!((pool.take_closing(), pool.idle_count()), (vec![6], 1));
    pool.sweep(21 * S, |_| false);
    assert_eq!((pool.take_closing(), pool.idle_count()), (vec![5], 0));
}

#[test]
fn the_longest_idle_connection_makes_room() {
    let mut pool = pool();
    assert!(!pool.make_room());
    pool.put(2 * S, &endpoint(1), 1, ConnectionAge::new(0), false);
    pool.put(S, &endpoint(2), 2, ConnectionAge::new(0), false);
    assert!(pool.make_room());
    assert_eq!(pool.take_closing(), [2]);
}
