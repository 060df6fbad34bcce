package figdeck.http.client

import figdeck.http.ChunkQueue
import io.netty.buffer.ByteBuf

/**
 * The body of a response while it is received.
 *
 * A body that broke off may be completed by bytes of a response that its upstream writes later. A body that holds a
 * status line is taken for such a one if its end is not certain: if it has no declared end, or if more bytes follow it.
 * Its reader has to recognize a response that ends just where the body should.
 *
 * @property queue where the bytes are passed on.
 */
internal class IncomingBody(
    private val queue: ChunkQueue,
    private val isDelimited: Boolean,
) {
    private val search = StatusLineSearch()

    /** Whether the body was read to its end. */
    val isConsumed: Boolean get() = queue.isConsumed

    fun receive(content: ByteBuf) {
        search.add(content)
        if (search.isFound && !isDelimited) failAsJoined() else queue.offer(content)
    }

    /** Passes on what was received in the read that ends now. */
    fun endRead() = queue.endRead()

    /** Ends the body. [following] are the first bytes that came after it in the same read. */
    fun end(following: ByteArray) {
        if (following.isNotEmpty() && search.isFoundBefore(following)) failAsJoined() else queue.complete()
    }

    /** Ends the body as broken off, unless it has ended. */
    fun fail(reason: String, cause: LossCause) {
        if (!queue.isComplete) {
            queue.fail(reason, cause)
        }
    }

    private fun failAsJoined() {
        queue.fail("the body holds the beginning of another response", LossCause.INVALID_RESPONSE)
    }
}
