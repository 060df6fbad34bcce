package figdeck.http

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Suspends until the operation is complete and returns its channel; throws its cause when it failed. */
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

/** An empty header block. */
public fun newHeaders(): HttpHeaders = DefaultHttpHeaders()
