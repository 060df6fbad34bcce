package figdeck.daemon.command.jobs

import figdeck.daemon.command.serving.CrashGuard
import figdeck.model.Moment
import figdeck.model.serving.PromptPart

/** Holds an item back for those of [parts] that may crash upstreams, unless it is the one with which they are tried. */
internal class ItemQuarantine(
    private val guard: CrashGuard,
    private val parts: List<PromptPart>,
) {
    private var isTrial = false

    /** What holds the item back at [now]; null if it may be sent. */
    fun holdAt(now: Moment): ItemHold? {
        val hold = guard.holdOf(parts)
        isTrial = hold != null && (isTrial || guard.trials.begin(hold, now))
        return hold?.takeUnless { isTrial }?.let { ItemHold.Quarantined(it.companions + it.suspect) }
    }

    /** Whether the item, for which a slot was found, may still be sent. A trial is over with it. */
    fun endWait(): Boolean = (isTrial || guard.holdOf(parts) == null).also { isTrial = false }
}
