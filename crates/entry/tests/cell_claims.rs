//! Which daemons claim which cells when many are free at once.

use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_entry::CellClaims;
use sapphirestile_entry::CellHead;
use sapphirestile_entry::CellTable;
use sapphirestile_entry::ClaimDelay;
use sapphirestile_entry::OwnershipRow;
use sapphirestile_jobs::CellLayout;

const READ_INTERVAL_MS: u64 = 400;
const LARGE_SHARE: f64 = 0.5;
const SMALL_SHARE: f64 = 0.12;
const LARGE_DAEMONS: usize = 18;
const SMALL_DAEMONS: usize = 129;
const CELLS: u16 = 10;

struct Daemon {
    claims: CellClaims,
    share: f64,
    owned: Vec<CellNumber>,
    /// When it reads next, and when it claims what it chose at its latest read.
    next_read: u64,
    chosen: Option<(u64, CellNumber)>,
}

fn daemon(index: usize, share: f64) -> Daemon {
    let name = DaemonName::try_from(format!("entry-{index}").as_str()).unwrap();
    Daemon {
        claims: CellClaims::of(&name),
        share,
        owned: Vec::new(),
        // Spreads the reads over the interval.
        next_read: (index as u64 * 131) % READ_INTERVAL_MS,
        chosen: None,
    }
}

fn head(now: u64) -> CellHead {
    CellHead {
        row: OwnershipRow {
            epoch: 1,
            daemon: "entry".into(),
            incarnation: 1,
            write: 1,
            is_released: false,
            load: sapphirestile_jobs::CellLoad::default(),
            lease_bounds: sapphirestile_jobs::LeaseBounds::of_all(0),
            vacancies: Vec::new(),
            restarts: Vec::new(),
            late_restarts: Vec::new(),
            idle_tasks: Vec::new(),
            document: sapphirestile_entry::DocumentReport::default(),
        },
        revision: 1,
        changed: MonoTime::from_millis(now),
    }
}

/// Lets a daemon read and choose a cell. Returns the cell that it claims now.
fn step(daemon: &mut Daemon, table: &CellTable, now: u64) -> Option<CellNumber> {
    if let Some((due, cell)) = daemon.chosen
        && now >= due
    {
        daemon.chosen = None;
        daemon.next_read = now + READ_INTERVAL_MS;
        return (!table.heads.contains(&cell)).then_some(cell);
    }
    if now < daemon.next_read || daemon.chosen.is_some() {
        return None;
    }
    daemon.next_read = now + READ_INTERVAL_MS;
    let owned = daemon.owned.clone();
    let time = MonoTime::from_millis(now);
    let free = daemon
        .claims
        .observe(table, |cell| owned.contains(&cell), time)?;
    let delay = ClaimDelay::of(daemon.share, daemon.owned.len(), free.cells).duration();
    let left = u64::try_from(delay.as_millis())
        .unwrap()
        .saturating_sub(free.free_ms);
    if left < READ_INTERVAL_MS {
        daemon.chosen = Some((now + left, free.cell));
    }
    None
}

/// An owner on a VM with an eighth of a processor cannot serve a cell of 110 workers.
#[test]
fn free_cells_go_to_the_daemons_with_the_most_processor_time() {
    let large = (0..LARGE_DAEMONS).map(|index| daemon(index, LARGE_SHARE));
    let small = (0..SMALL_DAEMONS).map(|index| daemon(LARGE_DAEMONS + index, SMALL_SHARE));
    let mut daemons: Vec<Daemon> = large.chain(small).collect();
    let text = format!(r#"{{"cells": {CELLS}, "racks": []}}"#);
    let layout: CellLayout = serde_json::from_str(&text).unwrap();
    let mut table = CellTable {
        layout: layout.into(),
        ..CellTable::default()
    };
    for now in 0..3_000 {
        for daemon in &mut daemons {
            if let Some(cell) = step(daemon, &table, now) {
                daemon.owned.push(cell);
                table.heads.insert(cell, head(now));
            }
        }
        for (_, head) in table.heads.iter_mut() {
            head.revision += 1;
        }
    }
    assert_eq!(table.heads.len(), usize::from(CELLS));
    let owned = |daemon: &Daemon| daemon.owned.len();
    let by_small: usize = daemons[LARGE_DAEMONS..].iter().map(owned).sum();
    assert_eq!(
        by_small, 0,
        "cells went to daemons with little processor time"
    );
    assert!(daemons.iter().all(|daemon| daemon.owned.len() <= 1));
}
