package figdeck.http

import figdeck.http.client.LossCause
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration

/** An HTTP message ended before it was complete. */
internal class IncompleteMessageException(
    reason: String,
    val lossCause: LossCause = LossCause.CONNECTION_ENDED,
) : IOException(reason)

/**
 * Transfers body chunks from a Netty channel to a coroutine.
 *
 * The queue buffers the chunks that one socket read decoded and emits them as one. It calls [requestRead] for the next
 * read only when they have been collected, so that a slow collector uses bounded memory. Collecting [body] fails when
 * no chunk arrives within [idleTimeout].
 */
internal class ChunkQueue(
    private val idleTimeout: Duration,
    private val requestRead: () -> Unit,
) {
    /** A chunk whose receiver timed out before it could take it. */
    @Volatile
    private var undelivered: ByteArray? = null
    private val queue = Channel<ByteArray>(Channel.UNLIMITED, onUndeliveredElement = { undelivered = it })

    val body: HttpBody = HttpBody(chunks())

    @Volatile
    var isComplete: Boolean = false
        private set

    /** Whether [body] was collected to its end. */
    @Volatile
    var isConsumed: Boolean = false
        private set

    fun offer(content: ByteBuf) {
        if (content.isReadable) {
            queue.trySend(ByteBufUtil.getBytes(content))
        }
    }

    fun complete() {
        isComplete = true
        queue.close()
    }

    fun fail(reason: String, cause: LossCause = LossCause.CONNECTION_ENDED) {
        queue.close(IncompleteMessageException(reason, cause))
    }

    private fun chunks(): Flow<ByteArray> = flow {
        while (!isConsumed) {
            val polled = queue.tryReceive()
            if (polled.isClosed) {
                polled.exceptionOrNull()?.let { throw it }
                isConsumed = true
            } else {
                val first = polled.getOrNull() ?: awaitChunk()
                if (first == null) isConsumed = true else emit(withBuffered(first))
            }
        }
    }

    private suspend fun awaitChunk(): ByteArray? {
        requestRead()
        var next: ChannelResult<ByteArray>? = null
        // The result is kept outside of the block: a block that ends as its time-out is due returns nothing.
        withTimeoutOrNull(idleTimeout) { next = queue.receiveCatching() }
        val received = next ?: return lateChunk()
        received.exceptionOrNull()?.let { throw it }
        return received.getOrNull()
    }

    /** Returns a chunk that is there although the wait for it timed out; null at the end of the body. */
    private suspend fun lateChunk(): ByteArray? {
        delay(READ_GRACE)
        val late = undelivered ?: bufferedChunk()
        undelivered = null
        return late
    }

    private fun bufferedChunk(): ByteArray? {
        val next = queue.tryReceive()
        next.exceptionOrNull()?.let { throw it }
        return if (next.isClosed) {
            null
        } else {
            next.getOrNull() ?: throw IncompleteMessageException("nothing came for $idleTimeout", LossCause.TIMEOUT)
        }
    }

    /** Returns [first] followed by all chunks that are buffered. */
    private fun withBuffered(first: ByteArray): ByteArray {
        val second = queue.tryReceive().getOrNull() ?: return first
        val joined = ByteArrayOutputStream(first.size + second.size)
        joined.write(first)
        var next: ByteArray? = second
        while (next != null) {
            joined.write(next)
            next = queue.tryReceive().getOrNull()
        }
        return joined.toByteArray()
    }
}
