package figdeck.http.client

import figdeck.http.BodyLost
import figdeck.http.ChunkQueue
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val CONTINUE = 100
private const val KEEP_ALIVE = "Keep-Alive"
private const val TIMEOUT_PARAMETER = "timeout="

/** One connection to a peer; it carries one exchange at a time. */
internal class ClientConnection : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext

    @Volatile
    private var head: CompletableDeferred<HttpReply>? = null

    @Volatile
    private var chunks: ChunkQueue? = null
    private var idleTimeoutOfExchange = Duration.ZERO

    @Volatile
    private var keepsAlive = true
    private var skipsInterim = false

    /** How long the peer keeps an idle connection by its own word; null when it doesn't say. */
    @Volatile
    var keepAliveTimeout: Duration? = null
        private set

    /** Whether the latest response was whole and the peer keeps the connection open. */
    val isReusable: Boolean get() = keepsAlive && chunks?.isComplete == true

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    suspend fun send(request: OutgoingRequest): HttpReply {
        val awaited = CompletableDeferred<HttpReply>()
        head = awaited
        chunks = null
        idleTimeoutOfExchange = request.idleTimeout
        val written = ctx.channel().writeAndFlush(encode(request))
        written.addListener { done ->
            if (!done.isSuccess) {
                awaited.completeExceptionally(BodyLost("the request could not be written whole"))
            }
        }
        ctx.channel().read()
        return awaited.await()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val received = msg as HttpObject
        when {
            received.decoderResult().isFailure || head == null -> {
                ReferenceCountUtil.release(msg)
                keepsAlive = false
                ctx.close()
            }
            received is HttpResponse && received.status().code() == CONTINUE -> skipsInterim = true
            received is LastHttpContent && skipsInterim -> skipsInterim = false
            else -> {
                if (received is HttpResponse) {
                    begin(received)
                }
                if (received is HttpContent) {
                    receive(received)
                }
            }
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (head?.isCompleted == false) {
            ctx.read()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        keepsAlive = false
        head?.completeExceptionally(BodyLost("the peer closed the connection before it answered"))
        val queue = chunks
        if (queue != null && !queue.isComplete) {
            queue.fail("the peer closed the connection in mid-answer")
        }
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun encode(request: OutgoingRequest): DefaultFullHttpRequest {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.target,
            Unpooled.wrappedBuffer(request.body),
        )
        message.headers()
            .set(request.headers)
            .set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        if (HttpHeaderNames.HOST !in request.headers) {
            message.headers().set(HttpHeaderNames.HOST, request.address.toString())
        }
        return message
    }

    private fun begin(response: HttpResponse) {
        keepsAlive = HttpUtil.isKeepAlive(response)
        keepAliveTimeout = response.headers().get(KEEP_ALIVE)?.let { timeoutOf(it) }
        val queue = ChunkQueue(idleTimeoutOfExchange) { ctx.channel().read() }
        chunks = queue
        head?.complete(HttpReply(response.status().code(), response.headers(), queue.body))
    }

    private fun receive(content: HttpContent) {
        val queue = chunks
        queue?.offer(content.content())
        val last = content is LastHttpContent
        ReferenceCountUtil.release(content)
        if (last && queue != null) {
            // Whatever comes from now on belongs to no exchange. The next one may begin, on another thread, as soon as
            // the body is complete, so that this comes first.
            head = null
            queue.complete()
            // An outstanding read notices that the peer closes the connection while it is idle.
            ctx.read()
        }
    }
}

private fun timeoutOf(keepAlive: String): Duration? = keepAlive.split(',')
    .map { it.trim() }
    .find { it.startsWith(TIMEOUT_PARAMETER) }
    ?.removePrefix(TIMEOUT_PARAMETER)
    ?.toIntOrNull()
    ?.seconds
