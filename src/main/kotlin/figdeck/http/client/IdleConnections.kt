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
    private val idle = ConcurrentHashMap<Address, ConnectionStack>()

    /** Takes an open connection to [address] that may still be used, or null when none is kept. */
    fun take(address: Address): Channel? {
        val stack = idle[address] ?: return null
        return generateSequence { stack.popFirst() }.firstOrNull { it.isUsable() }?.channel
    }

    /** Keeps [channel] for [duration] at most, or closes it when enough are kept. */
    fun put(address: Address, channel: Channel, duration: Duration) {
        val stack = idle.computeIfAbsent(address) { ConnectionStack() }
        if (!stack.pushFirst(IdleConnection(channel, TimeSource.Monotonic.markNow() + duration))) {
            channel.close()
        }
    }

    /** Closes every kept connection. */
    fun close() {
        idle.values.forEach { stack -> generateSequence { stack.popFirst() }.forEach { it.channel.close() } }
    }

    private fun IdleConnection.isUsable(): Boolean {
        val usable = channel.isActive && expiresAt.hasNotPassedNow()
        if (!usable) {
            channel.close()
        }
        return usable
    }

    private data class IdleConnection(
        val channel: Channel,
        val expiresAt: ComparableTimeMark,
    )

    private class ConnectionStack {
        private val connections = ConcurrentLinkedDeque<IdleConnection>()
        private val size = AtomicInteger()

        fun popFirst(): IdleConnection? = connections.pollFirst()?.also { size.decrementAndGet() }

        fun pushFirst(connection: IdleConnection): Boolean {
            val hasRoom = size.incrementAndGet() <= MAX_IDLE_PER_ADDRESS
            if (hasRoom) connections.addFirst(connection) else size.decrementAndGet()
            return hasRoom
        }
    }
}
