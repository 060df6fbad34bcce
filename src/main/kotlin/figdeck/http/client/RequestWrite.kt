package figdeck.http.client

import figdeck.http.READ_GRACE
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The longest part in which a body is written. The peer makes progress with each part. */
private const val MAX_PART_BYTES = 16 * 1024

/**
 * Writes [request]. Calls [onStalled] on the event loop if the peer takes nothing of its body for the time-out. A body
 * of one part is not watched: the system takes it at once.
 */
internal fun ChannelHandlerContext.writeRequest(request: OutgoingRequest, onStalled: () -> Unit): ChannelFuture =
    if (request.body.size <= MAX_PART_BYTES) {
        channel().writeAndFlush(wholeMessage(request))
    } else {
        writeParts(request, onStalled)
    }

private fun ChannelHandlerContext.writeParts(request: OutgoingRequest, onStalled: () -> Unit): ChannelFuture {
    val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.line.method), request.line.target)
    head.headers().setFrom(request)
    channel().write(head)
    val watch = WriteWatch(this, request.writeTimeout, onStalled)
    for (from in request.body.indices step MAX_PART_BYTES) {
        val part = Unpooled.wrappedBuffer(request.body, from, minOf(MAX_PART_BYTES, request.body.size - from))
        channel().write(DefaultHttpContent(part)).addListener { watch.recordProgress() }
    }
    return channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).also { watch.start(it) }
}

/** Watches that the parts of a request are written one after another. Confined to the event loop once it is started. */
private class WriteWatch(
    private val ctx: ChannelHandlerContext,
    private val timeout: Duration,
    private val onStalled: () -> Unit,
) {
    private var progressAt = TimeSource.Monotonic.markNow()

    fun recordProgress() {
        progressAt = TimeSource.Monotonic.markNow()
    }

    fun start(written: ChannelFuture) {
        if (!written.isDone) checkAfter(timeout, written)
    }

    private fun checkAfter(delay: Duration, written: ChannelFuture) {
        val check = ctx.executor().schedule({ check(written) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        written.addListener { check.cancel(false) }
    }

    /** After this process was stopped for a while, the check is due before the connection is looked at. */
    private fun check(written: ChannelFuture) {
        val seen = progressAt
        val left = timeout - seen.elapsedNow()
        when {
            written.isDone -> Unit
            left > Duration.ZERO -> checkAfter(left, written)
            else -> ctx.executor().schedule(
                {
                    if (!written.isDone && progressAt == seen) onStalled() else start(written)
                },
                READ_GRACE.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
    }
}

private fun wholeMessage(request: OutgoingRequest): DefaultFullHttpRequest {
    val message = DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.valueOf(request.line.method),
        request.line.target,
        Unpooled.wrappedBuffer(request.body),
    )
    message.headers().setFrom(request)
    return message
}

private fun HttpHeaders.setFrom(request: OutgoingRequest) {
    set(request.headers)
    set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
    if (HttpHeaderNames.HOST !in request.headers) {
        set(HttpHeaderNames.HOST, request.address.toString())
    }
}
