package figdeck.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration

/** A body ended before it was whole. */
internal class IncompleteMessageException(reason: String) : IOException(reason)

/**
 * Hands body chunks from a Netty channel to a coroutine.
 *
 * It holds what one read of the socket decoded and asks for the next read, by [requestRead], only when that has been
 * taken, so that a slow reader holds bounded memory. A pause longer than [idleTimeout] fails the body.
 */
internal class ChunkQueue(
    private val idleTimeout: Duration,
    private val requestRead: () -> Unit,
) {
    private val queue = Channel<ByteArray>(Channel.UNLIMITED)

    val body: HttpBody = HttpBody(chunks())

    @Volatile
    var isComplete: Boolean = false
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

    fun fail(reason: String) {
        queue.close(IncompleteMessageException(reason))
    }

    private fun chunks(): Flow<ByteArray> = flow {
        while (true) {
            val polled = queue.tryReceive()
            if (polled.isClosed) {
                polled.exceptionOrNull()?.let { throw it }
                return@flow
            }
            emit(polled.getOrNull() ?: awaitChunk() ?: return@flow)
        }
    }

    private suspend fun awaitChunk(): ByteArray? {
        requestRead()
        val next = withTimeoutOrNull(idleTimeout) { queue.receiveCatching() }
            ?: throw IncompleteMessageException("nothing came for $idleTimeout")
        next.exceptionOrNull()?.let { throw it }
        return next.getOrNull()
    }
}
