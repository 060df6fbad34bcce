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

    /** When the caller that was refused last returns; null if there was none. */
    private val lastReturnAt = AtomicReference<Moment?>()

    /** The bytes that are reserved now. */
    val usedNow: BodyMemoryUse get() = used.get()

    /** Reserves memory for [demand], or returns null if there is no room. */
    fun reserve(demand: BodyDemand): Reservation? = Reservation().takeIf { it.change(demand) }

    /** The refusal of [demand], which found no room, to a caller whose deadline is [timeLeft] away. */
    fun refusalOf(demand: BodyDemand, timeLeft: Duration): Refusal {
        val now = clock()
        val last = lastReturnAt.getAndUpdate { now + bodyRetryAfter(demand, limits, it, timeLeft, now) }
        val retryAfter = bodyRetryAfter(demand, limits, last, timeLeft, now)
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
