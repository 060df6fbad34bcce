package figdeck.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resumeWithException

/**
 * Waits until the operation completes and returns its channel, or throws the cause of its failure. If the wait is
 * cancelled as the operation completes, the channel is closed: nobody else has it.
 */
internal suspend fun ChannelFuture.awaitChannel(): Channel = suspendCancellableCoroutine { continuation ->
    addListener { done ->
        if (done.isSuccess) {
            continuation.resume(channel()) { _, channel, _ -> channel.close() }
        } else {
            continuation.resumeWithException(done.cause() ?: IOException("the operation was cancelled"))
        }
    }
    continuation.invokeOnCancellation { cancel(false) }
}

/** Returns an empty, mutable set of headers. */
public fun newHeaders(): HttpHeaders = DefaultHttpHeaders()
