//! Scenes of the second review: daemons as separate processes on stand-ins of the platform.
//!
//! Usage: `review-2 SCENE FOLDER`, in the repository's root. Writes FOLDER/record.txt. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the scene could not run. With
//! `TROUBLE=0` it leaves the disruption out.

mod caller;
mod daemons;
mod http;
mod json;
mod record;
mod scene;
mod scenes_copies;
mod scenes_forgotten;
mod scenes_gang;
mod scenes_images;
mod scenes_moved;
mod scenes_newcomer;
mod scenes_overtaken;
mod scenes_repeated;
mod scenes_waiting;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;

use scene::Verdict;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-2 SCENE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match name.as_str() {
        "forgotten" => scenes_forgotten::run(folder, has_trouble),
        "images" => scenes_images::run(folder, has_trouble),
        "copies" => scenes_copies::run(folder, has_trouble),
        "gang" => scenes_gang::run(folder, has_trouble),
        "moved" => scenes_moved::run(folder, has_trouble),
        "newcomer" => scenes_newcomer::run(folder, has_trouble),
        "overtaken" => scenes_overtaken::run(folder, has_trouble),
        "repeated" => scenes_repeated::run(folder, has_trouble),
        "waiting" => scenes_waiting::run(folder, has_trouble),
        _ => Verdict::CannotRun,
    };
    println!("{verdict:?}");
    exit(verdict as i32);
}
