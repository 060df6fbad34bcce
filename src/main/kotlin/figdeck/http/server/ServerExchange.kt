package figdeck.http.server

import figdeck.http.ChunkQueue
import figdeck.http.awaitChannel
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
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration

private const val INTERNAL_ERROR = 500
private val log = PartLog("http")

/** Sends the response to one call on a connection. */
internal class ServerExchange(
    private val ctx: ChannelHandlerContext,
    request: HttpRequest,
    private val requestBody: ChunkQueue,
    private val writeTimeout: Duration,
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
        check(!started) { "the response has already been started: call start or respond only once" }
        started = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        setConnectionHeader(response.headers())
        write(response)
    }

    private suspend fun write(chunk: ByteArray) {
        write(DefaultHttpContent(Unpooled.wrappedBuffer(chunk)))
    }

    private suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray) {
        check(!started) { "the response has already been started: call start or respond only once" }
        started = true
        ended = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body),
        )
        response.headers().set(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        setConnectionHeader(response.headers())
        write(response)
    }

    private suspend fun end() {
        check(started) { "the handler returned without sending a response" }
        if (!ended) {
            ended = true
            write(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    private fun setConnectionHeader(headers: HttpHeaders) {
        closesConnection = !requestKeepsAlive || !requestBody.isComplete || isDraining()
        if (closesConnection) {
            headers.set(HttpHeaderNames.CONNECTION, "close")
        }
    }

    private fun closeStalledConnection(): ResponseAbortedException {
        closesConnection = true
        ctx.close()
        return ResponseAbortedException("the peer did not read the response within $writeTimeout")
    }

    private suspend fun write(message: Any) {
        if (!ctx.channel().isActive) {
            throw ResponseAbortedException("the peer hung up")
        }
        val written = ctx.writeAndFlush(message)
        if (!ctx.channel().isWritable || message is DefaultFullHttpResponse) {
            withTimeoutOrNull(writeTimeout) { written.awaitChannel() } ?: throw closeStalledConnection()
        }
    }
}
