package figdeck.http.server

import figdeck.http.ChunkQueue
import figdeck.http.newHeaders
import figdeck.log.PartLog
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CancellationException
import java.io.IOException

private const val INTERNAL_ERROR = 500

/** The longest part in which a whole answer is sent. Its reader makes progress with each part. */
private const val MAX_PART_BYTES = 16 * 1024

/** About what a head takes. */
private const val HEAD_BYTES = 512
private val log = PartLog("http")

/** Sends the response to one call on a connection. */
internal class ServerExchange(
    private val ctx: ChannelHandlerContext,
    private val request: HttpRequest,
    private val requestBody: ChunkQueue,
    private val limits: HttpServerLimits,
    private val share: ResponseMemory.Share,
    private val isDraining: () -> Boolean,
) {
    private val requestKeepsAlive = HttpUtil.isKeepAlive(request)
    private var started = false
    private var ended = false

    val responder: HttpResponder = HttpResponder(::start, ::write, ::respond)

    private var closesConnection = false

    val hasStarted: Boolean get() = started

    val keepsAlive: Boolean get() = !closesConnection && ended

    @Suppress("TooGenericExceptionCaught") // A failing handler must not affect other calls.
    suspend fun run(handle: suspend () -> Unit) {
        try {
            handle()
            end()
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.debug { "the exchange was aborted: ${e.message}" }
        } catch (e: Exception) {
            log.error(e) { "the request handler failed" }
            if (!started) {
                respond(INTERNAL_ERROR, newHeaders(), ByteArray(0))
            }
        }
    }

    private suspend fun start(status: Int, headers: HttpHeaders) {
        begin()
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response.headers())
        write(response, HEAD_BYTES)
    }

    private suspend fun write(chunk: ByteArray) {
        write(DefaultHttpContent(Unpooled.wrappedBuffer(chunk)), chunk.size)
    }

    private suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        begin()
        val content = Unpooled.wrappedBuffer(body, 0, minOf(body.size, MAX_PART_BYTES))
        val isOnePart = content.readableBytes() == body.size
        val code = HttpResponseStatus.valueOf(status)
        val response = if (isOnePart) {
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, code, content)
        } else {
            DefaultHttpResponse(HttpVersion.HTTP_1_1, code)
        }
        response.headers().set(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        setConnectionHeader(response.headers())
        if (isOnePart) {
            ended = true
            write(response, HEAD_BYTES + body.size)
        } else {
            // The head is sent with the first part.
            ctx.write(response)
            write(DefaultHttpContent(content), content.readableBytes())
            writeRest(body)
        }
    }

    /**
     * Sends the parts of [body] after the first. What has no room yet stays with its owner. The channel copies each
     * part into a buffer of its own, so that a part which waits for its reader doesn't keep all of the body.
     */
    private suspend fun writeRest(body: ByteArray) {
        for (from in MAX_PART_BYTES until body.size step MAX_PART_BYTES) {
            val size = minOf(MAX_PART_BYTES, body.size - from)
            write(DefaultHttpContent(Unpooled.wrappedBuffer(body, from, size)), size)
        }
    }

    private fun begin() {
        check(!started) { "the response has already been started: call start or respond only once" }
        started = true
    }

    /** Ends the response and waits until all of it is written: a connection that is closed drops what it holds. */
    private suspend fun end() {
        check(started) { "the handler returned without sending a response" }
        if (!ended) {
            ended = true
            write(LastHttpContent.EMPTY_LAST_CONTENT, 0)
        }
        if (!share.awaitEmpty(limits.writeTimeout)) throw closeStalledConnection()
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        closesConnection = !requestKeepsAlive || !requestBody.isComplete || isDraining()
        if (closesConnection) {
            headers.set(HttpHeaderNames.CONNECTION, "close")
        }
    }

    /** Ends the response without its end, so that its reader can't take it for complete. */
    private fun closeStalledConnection(): ResponseAbortedException {
        closesConnection = true
        val unread = share.unread
        ctx.close()
        limits.responseRoom?.onStalled?.invoke(StalledResponse(request.headers(), request.uri(), unread))
        return ResponseAbortedException("the peer read too little of the response: ${unread.own} bytes wait for it")
    }

    private suspend fun write(message: Any, bytes: Int) {
        if (!ctx.channel().isActive) {
            throw ResponseAbortedException("the peer hung up")
        }
        share.hold(ctx.writeAndFlush(message), bytes)
        if (!share.awaitRoom()) throw closeStalledConnection()
    }
}
