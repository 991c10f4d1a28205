//! The limit on wrong operator tokens.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;

use test_case::test_case;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::operators::AuthLimiter;
use sapphirestile_daemon::operators::AuthVerdict;

const PEER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const FAILURES_MAX: u32 = 10;
const NETWORKS_MAX: u32 = 1_024;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn fail(limiter: &mut AuthLimiter, peer: IpAddr, times: u32, millis: u64) {
    for _ in 0..times {
        assert_eq!(limiter.check(peer, false, at(millis)), AuthVerdict::Wrong);
    }
}

#[test]
fn requests_during_a_pause_do_not_extend_it() {
    let mut limiter = AuthLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX, 0);
    for millis in 0..2_000 {
        let verdict = limiter.check(PEER, millis % 2 == 0, at(millis));
        let wait_ms = 2_000 - millis;
        assert_eq!(verdict, AuthVerdict::Paused { wait_ms });
    }
    assert_eq!(limiter.check(PEER, true, at(2_000)), AuthVerdict::Right);
}

#[test]
fn failures_are_counted_from_zero_after_a_pause() {
    let mut limiter = AuthLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX, 0);
    fail(&mut limiter, PEER, FAILURES_MAX, 2_000);
    let paused = AuthVerdict::Paused { wait_ms: 2_000 };
    assert_eq!(limiter.check(PEER, true, at(2_000)), paused);
}

#[test]
fn failures_of_different_windows_do_not_add_up() {
    let mut limiter = AuthLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 0);
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 10_000);
    assert_eq!(limiter.check(PEER, true, at(10_000)), AuthVerdict::Right);
}

#[test]
fn a_right_token_is_not_a_failure() {
    let mut limiter = AuthLimiter::default();
    for _ in 0..100 {
        assert_eq!(limiter.check(PEER, true, at(0)), AuthVerdict::Right);
    }
    assert!(limiter.is_empty());
}

#[test_case("10.0.0.2", AuthVerdict::Right; "another address")]
#[test_case("2001:db8::1", AuthVerdict::Right; "another network")]
#[test_case("2001:db8:0:1:2::1", AuthVerdict::Paused { wait_ms: 2_000 }; "the same network")]
fn a_pause_applies_to_one_network(other: &str, expected: AuthVerdict) {
    let mut limiter = AuthLimiter::default();
    let network = IpAddr::V6(Ipv6Addr::new(0x2001, 0xdb8, 0, 1, 0, 0, 0, 1));
    fail(&mut limiter, network, FAILURES_MAX, 0);
    assert_eq!(limiter.check(other.parse().unwrap(), true, at(0)), expected);
}

#[test]
fn the_oldest_peer_is_forgotten_when_the_limiter_is_full() {
    let mut limiter = AuthLimiter::default();
    fail(&mut limiter, PEER, FAILURES_MAX - 1, 0);
    for number in 1..4 * NETWORKS_MAX {
        let peer = IpAddr::V4(Ipv4Addr::from_bits(number));
        fail(&mut limiter, peer, 1, 1);
        assert!(limiter.len() <= NETWORKS_MAX as usize);
    }
    // The failures of the first peer are forgotten, so one more does not pause it.
    fail(&mut limiter, PEER, 1, 2);
    assert_eq!(limiter.check(PEER, true, at(2)), AuthVerdict::Right);
}
