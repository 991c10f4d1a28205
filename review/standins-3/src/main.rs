//! Scenes of the cases 11 to 15. Usage: `review-standins-3 SCENE FOLDER`, from the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the scene could not run.

mod caller;
mod channel_proxy;
mod daemon;
mod record;
mod scenes;
mod site;

use std::path::Path;
use std::process::ExitCode;

/// What a scene has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scene, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-3 SCENE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let verdict = match scene.as_str() {
        "stale-configuration" => scenes::stale_configuration(folder, has_trouble),
        "cancelled-run" => scenes::cancelled_run(folder, has_trouble),
        "changed-kind" => scenes::changed_kind(folder, has_trouble),
        "waiting-first-run" => scenes::waiting_first_run(folder, has_trouble),
        "kept-channels" => scenes::kept_channels(folder, has_trouble),
        "zone-out" => scenes::zone_out(folder, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
