//! A timestamp formatted for operators.

const DAY_MS: u64 = 86_400_000;
const SECOND_MS: u64 = 1_000;
/// The days of 400 years of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;
/// The days from 1 March of the year 0 to 1 January 1970.
const DAYS_BEFORE_1970: u64 = 719_468;

/// Milliseconds since 1970 UTC, displayed as a date and time in UTC.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::api::UnixTime;
///
/// assert_eq!(UnixTime::new(951_782_400_000).to_string(), "2000-02-29 00:00:00 UTC");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Creates the timestamp `unix_ms` milliseconds after the start of 1970 UTC.
    #[must_use]
    pub const fn new(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    // The Gregorian calendar repeats every 400 years (an era). Years start in March here,
    // so that a leap day is the last day of its year.
    fn date(self) -> (u64, u64, u64) {
        let days = self.0 / DAY_MS + DAYS_BEFORE_1970;
        let era = days / ERA_DAYS;
        let day_of_era = days % ERA_DAYS;
        let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
        let year_of_era = (day_of_era - leap_days) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        let month_from_march = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
        let month = (month_from_march + 2) % 12 + 1;
        let year = year_of_era + era * 400 + u64::from(month <= 2);
        (year, month, day)
    }
}

impl std::fmt::Display for UnixTime {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (year, month, day) = self.date();
        let second_of_day = self.0 % DAY_MS / SECOND_MS;
        let hour = second_of_day / 3_600;
        let minute = second_of_day / 60 % 60;
        let second = second_of_day % 60;
        write!(
            formatter,
            "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC"
        )
    }
}
