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

/** The open connections that carry no exchange, by address. The most recently used connection is reused first. */
internal class IdleConnections {
    private val idle = ConcurrentHashMap<Address, ConnectionStack>()

    /** Removes and returns a usable connection to [address], or returns null if there is none. */
    fun take(address: Address): Channel? {
        val stack = idle[address] ?: return null
        return generateSequence { stack.popFirst() }.firstOrNull { it.isUsable() }?.channel
    }

    /**
     * Adds [channel], which may be reused until [duration] has passed. Closes it instead if
     * [MAX_IDLE_PER_ADDRESS] connections to [address] are already idle.
     */
    fun put(address: Address, channel: Channel, duration: Duration) {
        val stack = idle.computeIfAbsent(address) { ConnectionStack() }
        if (!stack.pushFirst(IdleConnection(channel, TimeSource.Monotonic.markNow() + duration))) {
            channel.close()
        }
    }

    /** Closes all idle connections. */
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
