package figdeck.daemon.command.serving

import figdeck.command.serving.BodyDemand
import figdeck.command.serving.BodyMemoryLimits
import figdeck.command.serving.BodyMemoryUse
import figdeck.command.serving.BodyShare
import figdeck.command.serving.bodyRetryAfter
import figdeck.command.serving.shareFor
import figdeck.model.Clock
import figdeck.model.Moment
import figdeck.model.Refusal
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The memory of one host for request bodies. It is reserved before a body is read; no thread waits for it. */
internal class BodyMemory(
    private val limits: BodyMemoryLimits,
    private val clock: Clock,
) {
    private val used = AtomicReference(BodyMemoryUse())

    /** When the last of the refused callers of each share returns. */
    private val lastReturns = AtomicReference<Map<BodyShare, Moment>>(emptyMap())

    /** The bytes that are reserved now. */
    val usedNow: BodyMemoryUse get() = used.get()

    /** Reserves memory for [demand], or returns null if there is no room. */
    fun reserve(demand: BodyDemand): Reservation? = Reservation().takeIf { it.change(demand) }

    /** The refusal of [demand], which found no room, to a caller whose deadline is [timeLeft] away. */
    fun refusalOf(demand: BodyDemand, timeLeft: Duration): Refusal {
        val now = clock()
        val share = demand.mainShare
        val before = lastReturns.getAndUpdate { returns ->
            val returnAt = now + bodyRetryAfter(demand, limits, returns[share], timeLeft, now)
            // A caller with an early deadline returns before others.
            returns + (share to (returns[share]?.takeIf { it > returnAt } ?: returnAt))
        }
        val retryAfter = bodyRetryAfter(demand, limits, before[share], timeLeft, now)
        return Refusal.Overloaded("the memory for request bodies", retryAfter)
    }

    /** The memory of one body. Confined to the request that the body belongs to. */
    inner class Reservation : AutoCloseable {
        private var share = BodyShare.SMALL
        private var bytes = 0L

        /** Changes the reservation to [demand] and returns true, or leaves it as it is if there is no room. */
        fun change(demand: BodyDemand): Boolean {
            val before = used.getAndUpdate { now ->
                val others = now.plus(share, -bytes)
                shareFor(demand, others, limits)?.let { others.plus(it, demand.memory) } ?: now
            }
            val newShare = shareFor(demand, before.plus(share, -bytes), limits)
            if (newShare != null) {
                share = newShare
                bytes = demand.memory
            }
            return newShare != null
        }

        override fun close() {
            used.updateAndGet { it.plus(share, -bytes) }
            bytes = 0
        }
    }
}
