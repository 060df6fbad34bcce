package figdeck.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Waits until the operation completes and returns its channel, or throws the cause of its failure. */
internal suspend fun ChannelFuture.awaitChannel(): Channel = suspendCancellableCoroutine { continuation ->
    addListener { done ->
        if (done.isSuccess) {
            continuation.resume(channel())
        } else {
            continuation.resumeWithException(done.cause() ?: IOException("the operation was cancelled"))
        }
    }
    continuation.invokeOnCancellation { cancel(false) }
}

/** Returns an empty, mutable set of headers. */
public fun newHeaders(): HttpHeaders = DefaultHttpHeaders()
