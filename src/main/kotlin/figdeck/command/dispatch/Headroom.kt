package figdeck.command.dispatch

import figdeck.model.Moment
import kotlin.math.ceil
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private const val HALF = 0.5

/**
 * The number of slots that batch work leaves free for online arrivals.
 *
 * @property slots the amount at [updatedAt]. It decays from then on.
 */
public data class Headroom(
    public val slots: Double,
    public val updatedAt: Moment,
)

/**
 * Configures how the headroom adapts to delays of online arrivals.
 *
 * @property revokeGrace how long a revoked holder may keep running next to the online work that got its slot.
 * @property delayTarget the fraction of online arrivals that revoked holders may delay by exceeding [revokeGrace].
 * @property stepSlots the step of the adjustment in slots. A delayed arrival raises the headroom by nearly this much.
 * @property halfLife the time in which the headroom halves without online arrivals.
 */
public data class HeadroomPolicy(
    public val revokeGrace: Duration = 20.milliseconds,
    public val delayTarget: Double = 0.05,
    public val stepSlots: Double = 0.5,
    public val halfLife: Duration = 5.seconds,
)

/** The headroom in slots at [now]. */
public fun Headroom.slotsAt(now: Moment, policy: HeadroomPolicy): Double =
    slots * HALF.pow(
        (now - updatedAt).toDouble(DurationUnit.SECONDS) / policy.halfLife.toDouble(DurationUnit.SECONDS)
    )

/** The number of whole slots to keep free at [now]. */
public fun Headroom.wholeSlots(now: Moment, policy: HeadroomPolicy): Int =
    ceil(slotsAt(now, policy) - policy.stepSlots).toInt().coerceAtLeast(0)

/**
 * Adjusts the headroom after an online arrival, which revoked batch work [delayed] or not. In equilibrium the fraction
 * of delayed arrivals is [HeadroomPolicy.delayTarget].
 */
public fun Headroom.after(delayed: Boolean, maxSlots: Int, policy: HeadroomPolicy, now: Moment): Headroom {
    val change = if (delayed) policy.stepSlots * (1 - policy.delayTarget) else -policy.stepSlots * policy.delayTarget
    return Headroom((slotsAt(now, policy) + change).coerceIn(0.0, maxSlots.toDouble()), now)
}

/** Adjusts the headroom of this upstream after an online arrival, which batch work [delayed] or not. */
internal fun UpstreamState.observeOnlineArrival(delayed: Boolean, policy: HeadroomPolicy, now: Moment): UpstreamState =
    copy(headroom = headroom.after(delayed, upstream.slots, policy, now))
