//! Peers that try wrong tokens.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use test_case::test_case;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::operators::TryLimiter;
use sapphirestile_daemon::operators::TryVerdict;

const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const FAILURES_MAX: u32 = 10;
const PEERS_MAX: u32 = 1_024;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn fail(limiter: &mut TryLimiter, peer: IpAddr, times: u32, millis: u64) {
    for _ in 0..times {
        assert_eq!(limiter.judge(peer, false, at(millis)), TryVerdict::Wrong);
    }
}

#[test]
fn a_pause_ends_whatever_is_tried_during_it() {
    let mut limiter = TryLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX, 0);
    for millis in 0..2_000 {
        let verdict = limiter.judge(PEER, millis % 2 == 0, at(millis));
        let wait_ms = 2_000 - millis;
        assert_eq!(verdict, TryVerdict::Paused { wait_ms });
    }
    assert_eq!(limiter.judge(PEER, true, at(2_000)), TryVerdict::Right);
}

#[test]
fn after_a_pause_the_count_begins_anew() {
    let mut limiter = TryLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX, 0);
    fail(&mut limiter, PEER, FAILURES_MAX, 2_000);
    let paused = TryVerdict::Paused { wait_ms: 2_000 };
    assert_eq!(limiter.judge(PEER, true, at(2_000)), paused);
}

#[test]
fn failures_far_apart_do_not_add_up() {
    let mut limiter = TryLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 0);
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 10_000);
    assert_eq!(limiter.judge(PEER, true, at(10_000)), TryVerdict::Right);
}

#[test]
fn a_right_token_is_no_failure() {
    let mut limiter = TryLimiter::default();
    for _ in 0..100 {
        assert_eq!(limiter.judge(PEER, true, at(0)), TryVerdict::Right);
    }
    assert!(limiter.is_empty());
}

#[test_case("10.0.0.2", TryVerdict::Right; "another address")]
#[test_case("2001:db8::1", TryVerdict::Right; "another network")]
#[test_case("2001:db8:0:1:2::1", TryVerdict::Paused { wait_ms: 2_000 }; "the same network")]
fn a_pause_is_of_one_network(other: &str, expected: TryVerdict) {
    let mut limiter = TryLimiter::default();
    let network = IpAddr::V6(Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, 1));
    fail(&mut limiter, network, FAILURES_MAX, 0);
    assert_eq!(limiter.judge(other.parse().unwrap(), true, at(0)), expected);
}

#[test]
fn the_oldest_peer_makes_room_for_one_more() {
    let mut limiter = TryLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 0);
    for number in 1..4 * PEERS_MAX {
        let peer = IpAddr::V4(Ipv4Addr::from_bits(number));
        fail(&mut limiter, peer, 1, 1);
        assert!(limiter.len() <= PEERS_MAX as usize);
    }
    // Its failures are forgotten, so that it is not paused by one more.
    fail(&mut limiter, PEER, 1, 2);
    assert_eq!(limiter.judge(PEER, true, at(2)), TryVerdict::Right);
}
