package figdeck.process

import figdeck.model.Address
import java.net.InetAddress
import java.net.ServerSocket

/** The ports that are given to tests end below those that the kernel gives to connections and listeners on port 0. */
internal const val FIRST_PORT = 20_000
internal const val LAST_PORT = 32_000
private const val BLOCK_SIZE = 100

private val freePorts = FreePorts()

/** An address on which no other process listens, nor another test of this one, until a daemon under test does. */
internal fun freeAddress(): Address = Address(LOOPBACK, freePorts.next())

/**
 * Hands out each port once. The ports come from blocks that other processes that run these tests leave alone: the block
 * belongs to the process that listens on its first port.
 */
internal class FreePorts : AutoCloseable {
    private val reservations = mutableListOf<ServerSocket>()
    private var ports = emptyList<Int>().iterator()

    @Synchronized
    fun next(): Int {
        var port: Int? = null
        while (port == null) {
            if (!ports.hasNext()) {
                ports = reserveBlock().iterator()
            }
            port = ports.next().takeIf(::isFree)
        }
        return port
    }

    @Synchronized
    override fun close() = reservations.forEach { it.close() }

    private fun reserveBlock(): List<Int> {
        val reservation = (FIRST_PORT until LAST_PORT step BLOCK_SIZE).firstNotNullOfOrNull { listenOn(it) }
        checkNotNull(reservation) { "all blocks of ports are reserved" }
        reservations += reservation
        return List(BLOCK_SIZE - 1) { reservation.localPort + 1 + it }
    }

    private fun isFree(port: Int): Boolean = listenOn(port)?.use { true } ?: false

    private fun listenOn(port: Int): ServerSocket? =
        runCatching { ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)) }.getOrNull()
}
