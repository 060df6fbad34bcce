package figdeck.http.client

import figdeck.http.ChunkQueue
import io.netty.buffer.ByteBuf

/**
 * The body of a response while it is received.
 *
 * A body that broke off may be completed by bytes of a response that its upstream writes later. Such a body holds that
 * response's status line, and its end is not certain: either it has no declared end, or more bytes follow it. A
 * body that holds a status line as text has a declared end that nothing follows.
 *
 * @property queue where the bytes are passed on.
 */
internal class IncomingBody(
    val queue: ChunkQueue,
    private val isDelimited: Boolean,
) {
    private val search = StatusLineSearch()

    fun receive(content: ByteBuf) {
        content.forEachByte {
            search.add(it)
            true
        }
        if (search.isFound && !isDelimited) failAsJoined() else queue.offer(content)
    }

    /** Ends the body. [following] are the first bytes that came after it in the same read. */
    fun end(following: ByteArray) {
        if (following.isNotEmpty() && search.isFoundBefore(following)) failAsJoined() else queue.complete()
    }

    private fun failAsJoined() {
        queue.fail("the body holds the beginning of another response", LossCause.INVALID_RESPONSE)
    }
}
