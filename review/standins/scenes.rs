//! The scenes: what is sent, which disruption comes when, and what is checked.

use std::ops::Range;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Finding;
use crate::site::Site;

const RACK: &str = "r1-1";
const OTHER_RACK: &str = "r1-2";
/// How often the deployment is started until it is ready: another process may take a port.
const STARTS_MAX: usize = 3;
/// Daemons of each scene.
const DAEMONS: usize = 3;
/// Runners of each scene: two racks of eight.
const RUNNERS: usize = 16;

/// Plays a scene. Returns what it found, and the record of what was sent, answered and run.
pub fn play(name: &str, has_trouble: bool) -> (Finding, Vec<String>) {
    let racks: Vec<&str> = (0..RUNNERS)
        .map(|index| if index % 2 == 0 { RACK } else { OTHER_RACK })
        .collect();
    let mut starts = (0..STARTS_MAX).filter_map(|_| Site::start(DAEMONS, &racks));
    let Some(mut site) = starts.next() else {
        return (not_run("the deployment did not start"), Vec::new());
    };
    let finding = match name {
        "many-ends" => many_ends(&mut site, has_trouble),
        "restart-in-outage" => restart_in_outage(&site, has_trouble),
        "silent-restart" => silent_restart(&site, has_trouble),
        "gang" => gang(&mut site, has_trouble),
        "late-submission" => late_submission(&site, has_trouble),
        "large-submission" => large_submission(&site, has_trouble),
        _ => Finding::NotRun(format!("there is no scene {name}")),
    };
    let mut record = site.runners.record();
    record.extend(site.ended_daemons());
    (finding, record)
}

/// A submission of one step of equal tasks that take `work_ms` each.
fn tasks(count: usize, cpu: u64, work_ms: u64, rest: &str) -> String {
    format!(
        "{{\"spec\":\"{work_ms}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":20,\"estimate-ms\":{work_ms}{rest}}}]}}"
    )
}

fn job(number: u64) -> String {
    format!("5c0e7a21d94b{number:04x}")
}

fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Waits up to 20 s in all until submissions are shown as completed.
fn are_completed(site: &Site, daemon: usize, mut numbers: Range<u64>) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    numbers.all(|number| {
        let left = end.saturating_duration_since(Instant::now());
        site.wait_for_state(daemon, &job(number), "completed", left)
    })
}

fn judge_twice(site: &Site) -> Finding {
    let breaches = site.runners.breaches_of_twice();
    if breaches.is_empty() {
        Finding::Held
    } else {
        Finding::Broken(breaches)
    }
}

fn not_run(why: &str) -> Finding {
    Finding::NotRun(why.to_owned())
}

/// More than 500 runs of one runner end while the owner is being replaced. The submissions
/// come and end one after the other, so an owner that is there takes note of them in time.
fn many_ends(site: &mut Site, has_trouble: bool) -> Finding {
    const JOBS: u64 = 25;
    const TASKS: usize = 32;
    let first_ms = site.runners.now_ms();
    for number in 0..JOBS {
        if !site.submit(0, &job(number), &tasks(TASKS, 75, 4_000, "")) {
            return not_run("a submission was not accepted");
        }
        pause(40);
    }
    let are_running =
        |site: &Site| (0..JOBS).all(|number| site.runners.running_of(&job(number)) == TASKS);
    if !site.wait(Duration::from_secs(2), are_running) {
        return not_run("the tasks did not all run at once");
    }
    pause((first_ms + 3_700).saturating_sub(site.runners.now_ms()));
    let mut asked = 0;
    if has_trouble {
        let Some(owner) = site.store.last_writer() else {
            return not_run("nobody wrote to the store");
        };
        asked = (owner + 1) % DAEMONS;
        site.kill_daemon(owner);
        pause(1_000);
        site.start_daemon(owner);
    }
    let is_done = are_completed(site, asked, 0..JOBS);
    site.runners
        .note(format!("the submissions are completed: {is_done}"));
    pause(3_000);
    judge_twice(site)
}

/// A runner starts again under its id while the store is down.
fn restart_in_outage(site: &Site, has_trouble: bool) -> Finding {
    for round in 0..5 {
        if !site.submit(0, &job(round), &tasks(32, 500, 400, "")) {
            return not_run("a submission was not accepted");
        }
        pause(100);
    }
    if !are_completed(site, 0, 0..5) {
        return not_run("the first submissions were not completed");
    }
    // These runs end while the store is down, so their ends wait to be stored.
    if !site.submit(0, &job(10), &tasks(32, 500, 1_500, "")) {
        return not_run("a submission was not accepted");
    }
    if !site.wait(Duration::from_secs(5), |site| {
        site.runners.running_of(&job(10)) == 32
    }) {
        return not_run("the tasks did not all run at once");
    }
    pause(500);
    if has_trouble {
        site.store.set_down(true);
        site.runners.note("the store is down (503)".to_owned());
        pause(1_500);
        let (runner, ends) = site.runners.most_kept_ends();
        if ends == 0 {
            return not_run("no end waits to be taken note of");
        }
        site.runners.crash(runner, false);
        pause(1_000);
        site.runners.restart(runner);
        pause(1_900);
        site.store.set_down(false);
        site.runners.note("the store is back".to_owned());
    }
    pause(8_000);
    // The disruption is over. These are new.
    for round in 20..26 {
        if !site.submit(0, &job(round), &tasks(10, 500, 300, "")) {
            return not_run("a submission was not accepted");
        }
        pause(400);
    }
    let is_done = are_completed(site, 0, 20..26);
    site.runners
        .note(format!("the later submissions are completed: {is_done}"));
    pause(1_000);
    judge_twice(site)
}

/// Two of sixteen runners lose power for less than a second, and start again under their ids.
fn silent_restart(site: &Site, has_trouble: bool) -> Finding {
    let one_each = |work_ms| tasks(RUNNERS, 500, work_ms, ",\"max-per-server\":1");
    for round in 0..6 {
        if !site.submit(0, &job(round), &one_each(200)) {
            return not_run("a submission was not accepted");
        }
    }
    if !are_completed(site, 0, 0..6) {
        return not_run("the first submissions were not completed");
    }
    // Nothing is asked for a while.
    pause(12_000);
    if has_trouble {
        site.runners.crash(0, true);
        site.runners.crash(1, true);
        pause(700);
        site.runners.restart(0);
        site.runners.restart(1);
    }
    for number in 50..54 {
        if !site.submit(0, &job(number), &one_each(100)) {
            return not_run("a submission was not accepted");
        }
        pause(40);
    }
    let is_done = are_completed(site, 0, 50..54);
    site.runners
        .note(format!("the later submissions are completed: {is_done}"));
    pause(2_000);
    judge_twice(site)
}

/// A gang completes while the owner is being replaced, and one of its runners starts again.
fn gang(site: &mut Site, has_trouble: bool) -> Finding {
    const MEMBERS: usize = 2;
    let id = job(1);
    site.runners.expect_gang(&id, MEMBERS, 2_500);
    if !site.submit(
        0,
        &id,
        &tasks(MEMBERS, 4_000, 2_500, ",\"gang\":true,\"max-per-server\":1"),
    ) {
        return not_run("the submission was not accepted");
    }
    if !site.wait(Duration::from_secs(10), |site| {
        site.runners.running_of(&id) == MEMBERS
    }) {
        return not_run("the gang did not run");
    }
    let members = site.runners.runners_of(&id);
    pause(1_700);
    let mut survivor = 0;
    if has_trouble {
        let Some(owner) = site.store.last_writer() else {
            return not_run("nobody wrote to the store");
        };
        survivor = (owner + 1) % DAEMONS;
        site.kill_daemon(owner);
        if !site.wait(Duration::from_secs(3), |site| {
            site.runners.ends_of(&id, "done") == MEMBERS
        }) {
            return not_run("the gang was not done before the next owner called");
        }
        site.runners
            .delay_answers(members[1], Duration::from_millis(16));
        site.runners.crash(members[0], false);
        pause(200);
        site.runners.restart(members[0]);
        pause(500);
        site.start_daemon(owner);
    }
    if site.wait_for_state(survivor, &id, "completed", Duration::from_secs(40)) {
        return Finding::Held;
    }
    let state = site.state(survivor, &id);
    let running = site.runners.running_of(&id);
    Finding::Broken(vec![format!(
        "{id} is shown as {state:?} 40 s after its gang was done; {running} of its tasks run"
    )])
}

/// A submission gets no answer from the store, is cancelled (410), and is stored late.
fn late_submission(site: &Site, has_trouble: bool) -> Finding {
    let id = job(1);
    if has_trouble {
        let late = (
            "sapphirestile/homes/".to_owned(),
            Duration::from_millis(5_500),
        );
        site.store.set_late(Some(late));
        site.runners
            .note("the store loses answers, and carries these calls out 5.5 s later".to_owned());
    }
    let answer = site.call(0, "POST", &id, &tasks(2, 500, 60_000, ""), 1_000);
    site.store.set_late(None);
    if has_trouble && answer.as_ref().is_some_and(|(status, _)| *status == 200) {
        return not_run("the submission was acknowledged");
    }
    let answer = site.call(1, "DELETE", &id, "", 3_000);
    let Some((status, _)) = answer else {
        return not_run("the cancelling was not acknowledged");
    };
    if status != 410 && !(200..300).contains(&status) {
        return not_run("the cancelling was not acknowledged");
    }
    let cancelled_ms = site.runners.now_ms();
    pause(12_000);
    let (late, all) = site.store.late_calls();
    site.runners
        .note(format!("{late} commits were carried out late, of {all}"));
    let starts = site.runners.starts_after(&id, cancelled_ms + 3_000);
    let state = site.state(2, &id);
    if starts == 0 {
        return Finding::Held;
    }
    Finding::Broken(vec![format!(
        "{starts} tasks of {id} began over 3 s after its cancelling was acknowledged with {status}; it is shown as {state:?}"
    )])
}

/// A submission that is due twice a second and takes longer than that, so that its occurrences
/// overlap, and later small ones.
fn large_submission(site: &Site, has_trouble: bool) -> Finding {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let count = if has_trouble { 10_000 } else { 100 };
    let body = format!(
        "{{\"spec\":\"500\",\"repeat-count\":60,\"start-time-ms\":{},\"interval-ms\":500,\
         \"steps\":[{{\"count\":{count},\"cpu\":500,\"mem-mb\":20,\"estimate-ms\":500}}]}}",
        since.as_millis()
    );
    if !site.submit(0, &job(1), &body) {
        return not_run("the timed submission was not accepted");
    }
    pause(32_000);
    for round in 10..14 {
        if !site.submit(0, &job(round), &tasks(4, 500, 300, "")) {
            return not_run("a submission was not accepted");
        }
    }
    let before_ms = site.runners.now_ms();
    pause(45_000);
    let begun: usize = (1..14)
        .map(|number| site.runners.starts_after(&job(number), before_ms + 5_000))
        .sum();
    let states: Vec<String> = (10..14).map(|round| site.state(0, &job(round))).collect();
    let refused = site.store.refused_as_too_large();
    site.runners.note(format!(
        "{refused} commits were refused as too large; later states: {states:?}"
    ));
    let is_held = states.iter().all(|state| state == "completed") || begun > 0;
    if is_held {
        return Finding::Held;
    }
    Finding::Broken(vec![format!(
        "no task of any submission began for 40 s, though all runners were free; small submissions are {states:?}; \
         {refused} commits were refused as too large"
    )])
}
