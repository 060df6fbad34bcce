package figdeck.process

import figdeck.model.Address
import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A link to [target] that can be cut: then open connections end and new ones are refused. */
class Cut(private val target: Address) : Closeable {
    private val listener = ServerSocket(0, 64, InetAddress.getByName(IP))
    private val sockets = CopyOnWriteArrayList<Socket>()

    @Volatile
    private var isOpen = true

    val address = Address(IP, listener.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    fun sever() {
        isOpen = false
        sockets.forEach { it.close() }
    }

    fun mend() {
        isOpen = true
    }

    override fun close() {
        listener.close()
        sever()
    }

    private fun accept() {
        while (!listener.isClosed) {
            val near = runCatching { listener.accept() }.getOrNull() ?: return
            val far = if (isOpen) runCatching { Socket(target.ip, target.port) }.getOrNull() else null
            if (far == null) {
                near.close()
            } else {
                sockets += listOf(near, far)
                copy(near, far)
                copy(far, near)
            }
        }
    }

    private fun copy(from: Socket, to: Socket) = thread(isDaemon = true) {
        runCatching { from.getInputStream().copyTo(to.getOutputStream(), 1024) }
        from.close()
        to.close()
    }
}
