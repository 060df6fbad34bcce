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
 * How many slots batch work leaves free for online arrivals.
 *
 * @property slots the amount at [updatedAt]; it decays from then on.
 */
public data class Headroom(
    public val slots: Double,
    public val updatedAt: Moment,
)

/**
 * How headroom follows the delay of online arrivals.
 *
 * @property revokeGrace how long a revoked holder may share the upstream with the online work that took its slot.
 * @property delayTarget the part of online arrivals that may be delayed by holders who leave later than that.
 * @property stepSlots how far one delayed arrival raises the headroom, in slots.
 * @property halfLife how long it takes to halve without online arrivals.
 */
public data class HeadroomPolicy(
    public val revokeGrace: Duration = 20.milliseconds,
    public val delayTarget: Double = 0.05,
    public val stepSlots: Double = 0.5,
    public val halfLife: Duration = 5.seconds,
)

/** The slots kept free at [now]. */
public fun Headroom.slotsAt(now: Moment, policy: HeadroomPolicy): Double =
    slots * HALF.pow(
        (now - updatedAt).toDouble(DurationUnit.SECONDS) / policy.halfLife.toDouble(DurationUnit.SECONDS)
    )

/** The whole slots kept free at [now]. */
public fun Headroom.wholeSlots(now: Moment, policy: HeadroomPolicy): Int =
    ceil(slotsAt(now, policy) - policy.stepSlots).toInt().coerceAtLeast(0)

/**
 * The headroom after an online arrival that batch work [delayed] or not. In balance, just
 * [HeadroomPolicy.delayTarget] of the arrivals are delayed.
 */
public fun Headroom.after(delayed: Boolean, maxSlots: Int, policy: HeadroomPolicy, now: Moment): Headroom {
    val change = if (delayed) policy.stepSlots * (1 - policy.delayTarget) else -policy.stepSlots * policy.delayTarget
    return Headroom((slotsAt(now, policy) + change).coerceIn(0.0, maxSlots.toDouble()), now)
}

/** This state after an online arrival that batch work [delayed] or not. */
internal fun UpstreamState.observeOnlineArrival(delayed: Boolean, policy: HeadroomPolicy, now: Moment): UpstreamState =
    copy(headroom = headroom.after(delayed, upstream.slots, policy, now))
