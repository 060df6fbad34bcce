package figdeck.process

import figdeck.model.Address
import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A TCP proxy to [target] that can be severed: it then closes the open connections and every new one, until it is
 * restored.
 */
class SeverableLink(private val target: Address) : Closeable {
    private val listener = ServerSocket(0, 64, InetAddress.getByName(LOOPBACK))
    private val sockets = CopyOnWriteArrayList<Socket>()

    @Volatile
    private var isOpen = true

    val address = Address(LOOPBACK, listener.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    fun sever() {
        isOpen = false
        sockets.forEach { it.close() }
    }

    fun restore() {
        isOpen = true
    }

    override fun close() {
        listener.close()
        sever()
    }

    private fun accept() {
        while (!listener.isClosed) {
            val clientSocket = runCatching { listener.accept() }.getOrNull() ?: return
            val targetSocket = if (isOpen) runCatching { Socket(target.ip, target.port) }.getOrNull() else null
            if (targetSocket == null) {
                clientSocket.close()
            } else {
                sockets += listOf(clientSocket, targetSocket)
                forward(clientSocket, targetSocket)
                forward(targetSocket, clientSocket)
            }
        }
    }

    private fun forward(from: Socket, to: Socket) = thread(isDaemon = true) {
        runCatching { from.getInputStream().copyTo(to.getOutputStream(), 1024) }
        from.close()
        to.close()
    }
}
