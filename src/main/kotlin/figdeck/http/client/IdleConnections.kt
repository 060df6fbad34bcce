package figdeck.http.client

import figdeck.model.Address
import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicInteger

private const val MAX_IDLE_PER_ADDRESS = 256

/** The kept connections that carry no exchange now, by address; the one used last is taken first. */
internal class IdleConnections {
    private val idle = ConcurrentHashMap<Address, Stack>()

    /** Takes an open connection to [address], or null when none is kept. */
    fun take(address: Address): Channel? {
        val stack = idle[address] ?: return null
        return generateSequence { stack.pop() }.firstOrNull { it.isActive }
    }

    /** Keeps [channel], or closes it when enough are kept. */
    fun keep(address: Address, channel: Channel) {
        val stack = idle.computeIfAbsent(address) { Stack() }
        if (!stack.push(channel)) {
            channel.close()
        }
    }

    /** Closes every kept connection. */
    fun close() {
        idle.keys.forEach { address -> generateSequence { take(address) }.forEach { it.close() } }
    }

    private class Stack {
        private val channels = ConcurrentLinkedDeque<Channel>()
        private val size = AtomicInteger()

        fun pop(): Channel? = channels.pollFirst()?.also { size.decrementAndGet() }

        fun push(channel: Channel): Boolean {
            val fits = size.incrementAndGet() <= MAX_IDLE_PER_ADDRESS
            if (fits) channels.addFirst(channel) else size.decrementAndGet()
            return fits
        }
    }
}
