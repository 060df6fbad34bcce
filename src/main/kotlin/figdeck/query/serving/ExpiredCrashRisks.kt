package figdeck.query.serving

import figdeck.model.Moment
import figdeck.model.serving.CRASH_REPORT_RETENTION
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect

/** The keys of the reports that no longer count at [now]. */
public fun CrashRisks.expiredCrashes(now: Moment): Set<String> =
    crashes.filterValues { now - it.reportedAt > CRASH_REPORT_RETENTION }.keys

/** The suspects whose clearance is no longer needed at [now]. It outlasts the reports that it clears. */
public fun CrashRisks.expiredClearances(now: Moment): Set<CrashSuspect> =
    clearances.filterValues { now - it.clearedAt > CRASH_REPORT_RETENTION * 2 }.keys
