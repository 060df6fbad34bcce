package figdeck.http.client

import figdeck.model.Address
import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

private const val MAX_IDLE_PER_ADDRESS = 256

/** The kept connections that carry no exchange now, by address; the one used last is taken first. */
internal class IdleConnections {
    private val idle = ConcurrentHashMap<Address, Stack>()

    /** Takes an open connection to [address] that may still be used, or null when none is kept. */
    fun take(address: Address): Channel? {
        val stack = idle[address] ?: return null
        return generateSequence { stack.pop() }.firstOrNull { it.isUsable() }?.channel
    }

    /** Keeps [channel] for [duration] at most, or closes it when enough are kept. */
    fun keep(address: Address, channel: Channel, duration: Duration) {
        val stack = idle.computeIfAbsent(address) { Stack() }
        if (!stack.push(Kept(channel, TimeSource.Monotonic.markNow() + duration))) {
            channel.close()
        }
    }

    /** Closes every kept connection. */
    fun close() {
        idle.values.forEach { stack -> generateSequence { stack.pop() }.forEach { it.channel.close() } }
    }

    private fun Kept.isUsable(): Boolean {
        val usable = channel.isActive && until.hasNotPassedNow()
        if (!usable) {
            channel.close()
        }
        return usable
    }

    private data class Kept(
        val channel: Channel,
        val until: ComparableTimeMark,
    )

    private class Stack {
        private val kept = ConcurrentLinkedDeque<Kept>()
        private val size = AtomicInteger()

        fun pop(): Kept? = kept.pollFirst()?.also { size.decrementAndGet() }

        fun push(next: Kept): Boolean {
            val fits = size.incrementAndGet() <= MAX_IDLE_PER_ADDRESS
            if (fits) kept.addFirst(next) else size.decrementAndGet()
            return fits
        }
    }
}
