//! Plays one scene of the review: `scene NAME RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the scene could not run. With `TROUBLE=0` the disruption is left out.

mod http;
mod json;
mod runners;
mod scenes;
mod site;
mod store;

use std::process::ExitCode;

/// What a scene found.
pub enum Finding {
    Held,
    Broken(Vec<String>),
    NotRun(String),
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (name, record) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (finding, mut lines) = scenes::play(&name, has_trouble);
    let (code, summary) = match finding {
        Finding::Held => (0, vec!["the rule held".to_owned()]),
        Finding::Broken(breaches) => {
            let mut summary = vec![format!("the rule was broken {} times", breaches.len())];
            summary.extend(breaches.into_iter().take(12));
            (1, summary)
        }
        Finding::NotRun(why) => (2, vec![format!("could not run: {why}")]),
    };
    for line in &summary {
        println!("{line}");
    }
    lines.extend(summary);
    if std::fs::write(&record, lines.join("\n") + "\n").is_err() {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
