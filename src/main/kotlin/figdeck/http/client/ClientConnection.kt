package figdeck.http.client

import figdeck.http.ChunkQueue
import figdeck.http.IncompleteMessageException
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val KEEP_ALIVE = "Keep-Alive"
private const val TIMEOUT_PARAMETER = "timeout="
private const val INVALID_BYTES = "the peer sent bytes that are no response"

/** A client connection that carries one exchange at a time. */
internal class ClientConnection(private val decoder: ResponseDecoder) : ChannelDuplexHandler() {
    private lateinit var ctx: ChannelHandlerContext

    @Volatile
    private var pendingReply: CompletableDeferred<HttpReply>? = null

    @Volatile
    private var responseBody: IncomingBody? = null

    /** Completes when the latest request is written. */
    @Volatile
    private var written: ChannelFuture? = null
    private var bodyIdleTimeout = Duration.ZERO

    @Volatile
    private var keepsAlive = true
    private var skippingInterim = false
    private var exchangeCount = 0

    /** The body whose last byte was received in the current read. Confined to the event loop. */
    private var receivedBody: IncomingBody? = null

    /** The idle timeout that the peer sent in the `Keep-Alive` header, or null if it sent none. */
    @Volatile
    var keepAliveTimeout: Duration? = null
        private set

    /**
     * Whether the latest request was written whole, its response was read to its end, and the peer keeps the
     * connection open. A response that is left unread is of no use to its reader, such as a refusal; its peer may be in
     * trouble and send it once more. A peer may answer before it has read the request, and the next one would wait for
     * the rest.
     */
    val isReusable: Boolean get() = keepsAlive && written?.isSuccess == true && responseBody?.isConsumed == true

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    /** Sends [request]; the result completes with the head of the response. */
    fun send(request: OutgoingRequest): Deferred<HttpReply> {
        val reply = CompletableDeferred<HttpReply>()
        pendingReply = reply
        responseBody = null
        bodyIdleTimeout = request.idleTimeout
        val requestWritten = ctx.writeRequest(request) {
            keepsAlive = false
            failExchange("the peer took nothing of the request for ${request.writeTimeout}", LossCause.TIMEOUT)
            ctx.close()
        }
        written = requestWritten
        requestWritten.addListener { done ->
            if (!done.isSuccess) {
                reply.completeExceptionally(IncompleteMessageException("the request could not be written whole"))
                responseBody?.fail("the connection failed while the request was written", LossCause.CONNECTION_ENDED)
            }
        }
        ctx.channel().read()
        return reply
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (msg is HttpRequest) {
            decoder.expectResponseTo(msg.method())
        }
        ctx.write(msg, promise)
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val received = msg as HttpObject
        when {
            received.decoderResult().isFailure || pendingReply == null || received.holdsSecondStatusLine() -> {
                ReferenceCountUtil.release(msg)
                keepsAlive = false
                val cause = received.decoderResult().cause()
                if (cause !is PrematureChannelClosureException) {
                    val fault = if (cause is MalformedResponseException) " (${cause.message})" else ""
                    failExchange(INVALID_BYTES + fault, LossCause.INVALID_RESPONSE)
                }
                ctx.close()
            }
            received is HttpResponse && received.status().codeClass() == HttpStatusClass.INFORMATIONAL ->
                skippingInterim = true
            received is LastHttpContent && skippingInterim -> skippingInterim = false
            else -> {
                if (received is HttpResponse) {
                    startReply(received)
                }
                if (received is HttpContent) {
                    receiveContent(received)
                }
            }
        }
    }

    /**
     * Ends the exchange whose last byte was in this read. Another thread may start the next exchange as soon as the
     * body is complete, so the body is completed after all bytes of the read: if some of them belong to no exchange,
     * the connection is not reused.
     */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val received = receivedBody
        receivedBody = null
        if (decoder.hasUnexpectedBytes) {
            keepsAlive = false
        }
        responseBody?.endRead()
        received?.end(decoder.unexpectedBytes)
        if (decoder.hasUnexpectedBytes) {
            // Another thread may already wait for the response to a request that has not been written yet.
            pendingReply?.let { failExchange(INVALID_BYTES, LossCause.INVALID_RESPONSE) }
            ctx.close()
        }
        // A pending read also detects that the peer closes the connection while it is idle.
        if (received != null || pendingReply?.isCompleted == false) {
            ctx.read()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        keepsAlive = false
        failExchange("the peer closed the connection", LossCause.CONNECTION_ENDED)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        keepsAlive = false
        // Without a length, the close that follows would look like the end of the body.
        responseBody?.fail("the connection failed in mid-answer: ${cause.message}", LossCause.CONNECTION_ENDED)
        ctx.close()
    }

    /** Ends the exchange in progress, if any, because of [event]. */
    private fun failExchange(event: String, cause: LossCause) {
        pendingReply?.completeExceptionally(IncompleteMessageException("$event before it answered", cause))
        responseBody?.fail("$event in mid-answer", cause)
    }

    private fun startReply(response: HttpResponse) {
        keepsAlive = HttpUtil.isKeepAlive(response)
        keepAliveTimeout = response.headers().get(KEEP_ALIVE)?.let { parseKeepAliveTimeout(it) }
        val queue = ChunkQueue(bodyIdleTimeout) { ctx.channel().read() }
        val isDelimited = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        responseBody = IncomingBody(queue, isDelimited)
        pendingReply?.complete(HttpReply(response.status().code(), response.headers(), queue.body, exchangeCount))
        exchangeCount++
    }

    private fun receiveContent(content: HttpContent) {
        val body = responseBody
        body?.receive(content.content())
        val last = content is LastHttpContent
        ReferenceCountUtil.release(content)
        if (last && body != null) {
            // Data received from now on belongs to no exchange.
            pendingReply = null
            receivedBody = body
        }
    }
}

/**
 * Whether this is the head of a response that was joined to the beginning of another one, which broke off within its
 * status line or a header. The status is that of the first response, the headers are those of the second.
 */
private fun HttpObject.holdsSecondStatusLine(): Boolean = this is HttpResponse &&
    (status().reasonPhrase().containsStatusLine() || headers().any { it.value.containsStatusLine() })

private fun parseKeepAliveTimeout(keepAlive: String): Duration? = keepAlive.split(',')
    .map { it.trim() }
    .find { it.startsWith(TIMEOUT_PARAMETER) }
    ?.removePrefix(TIMEOUT_PARAMETER)
    ?.toIntOrNull()
    ?.seconds
