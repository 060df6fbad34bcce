package figdeck.command.dispatch

import figdeck.model.Lane
import figdeck.model.TeamId

/** Which decision refuses a request a slot. */
public enum class RefusalReason {
    /** Too many requests of this host are repetitions. */
    RETRY_BUDGET,

    /** All candidates are paused after failures. */
    NO_USABLE_UPSTREAM,

    /** It would be too late after the requests that wait at the chosen upstream. */
    LATE_IN_QUEUE,

    /** Its team holds far more work than others that wait in the pool. */
    FAR_BEYOND_SHARE,

    /** Not all that wait in the pool can be served in time, and its team would hold the most work. */
    LAST_BY_HELD_WORK,

    /** It became too late while it waited. */
    EXPIRED,

    /** The queue is full, and its team has the most requests in it. */
    QUEUE_FULL,

    /** It has waited for as long as its caller can wait. */
    OVERDUE,

    /** The data centres of all its candidates were evacuated while it waited. */
    EVACUATED,
}

/** Who is refused a slot, and why. */
public data class SlotRefusal(
    public val reason: RefusalReason,
    public val lane: Lane,
    public val team: TeamId?,
)

internal fun DispatchRequest.refusedFor(reason: RefusalReason): SlotRefusal = SlotRefusal(reason, lane, team)
