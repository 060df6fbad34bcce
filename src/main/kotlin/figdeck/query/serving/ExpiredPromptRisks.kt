package figdeck.query.serving

import figdeck.model.Moment
import figdeck.model.serving.CRASH_REPORT_RETENTION
import figdeck.model.serving.PromptPart
import figdeck.model.serving.PromptRisks

/** The keys of the reports that no longer count at [now]. */
public fun PromptRisks.expiredCrashes(now: Moment): Set<String> =
    crashes.filterValues { now - it.reportedAt > CRASH_REPORT_RETENTION }.keys

/** The parts whose clearance is no longer needed at [now]. It outlasts the reports that it clears. */
public fun PromptRisks.expiredClearances(now: Moment): Set<PromptPart> =
    clearances.filterValues { now - it.clearedAt > CRASH_REPORT_RETENTION * 2 }.keys
