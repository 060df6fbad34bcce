package figdeck.http.server

import figdeck.http.ChunkQueue
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.io.IOException

/** The calls of one connection, one after another, on the connection's event loop. */
internal class ServerConnection(
    private val limits: HttpServerLimits,
    private val load: ServerLoad,
    private val handler: HttpHandler,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<HttpObject>()
    private lateinit var scope: CoroutineScope
    private var current: Job? = null
    private var chunks: ChunkQueue? = null
    private lateinit var deadline: ConnectionDeadline

    override fun channelActive(ctx: ChannelHandlerContext) {
        scope = CoroutineScope(ctx.channel().eventLoop().asCoroutineDispatcher() + SupervisorJob())
        deadline = ConnectionDeadline(ctx) { expire(ctx, chunks) }
        deadline.start(limits.headerTimeout)
        ctx.read()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val received = msg as HttpObject
        val startsNext = received is HttpRequest && current != null
        if (startsNext || waiting.isNotEmpty()) {
            waiting.addLast(received)
        } else {
            accept(ctx, received)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (current == null) {
            ctx.read()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        deadline.cancel()
        chunks?.fail("the peer hung up")
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        scope.cancel()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun accept(ctx: ChannelHandlerContext, received: HttpObject) {
        if (received.decoderResult().isFailure) {
            ReferenceCountUtil.release(received)
            chunks?.fail("the request can't be read")
            refuse(ctx, statusOf(received.decoderResult().cause()))
            return
        }
        if (received is HttpRequest) {
            begin(ctx, received)
        }
        if (received is HttpContent) {
            receive(ctx, received)
        }
    }

    private fun begin(ctx: ChannelHandlerContext, request: HttpRequest) {
        deadline.start(limits.bodyTotalTimeout)
        val queue = ChunkQueue(limits.bodyIdleTimeout) { ctx.channel().read() }
        chunks = queue
        val exchange = ServerExchange(ctx, request, queue, limits.writeTimeout) { load.draining.get() }
        val call = httpCall(request.method().name(), request.uri(), request.headers(), queue.body)
        current = scope.launch {
            load.active.incrementAndGet()
            try {
                exchange.run { handler(call, exchange.responder) }
            } finally {
                load.active.decrementAndGet()
                finish(ctx, exchange.keepsAlive && queue.isComplete)
            }
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun receive(ctx: ChannelHandlerContext, content: HttpContent) {
        val queue = chunks
        queue?.offer(content.content())
        val last = content is LastHttpContent
        ReferenceCountUtil.release(content)
        if (last && queue != null) {
            deadline.cancel()
            queue.complete()
            // An outstanding read notices that the peer hangs up while its call runs.
            ctx.read()
        }
    }

    private fun finish(ctx: ChannelHandlerContext, reuse: Boolean) {
        val bodyLeft = chunks?.isComplete == false
        current = null
        chunks = null
        if (!reuse || !ctx.channel().isActive) {
            deadline.cancel()
            closeAfterBody(ctx, bodyLeft)
            return
        }
        deadline.start(limits.headerTimeout)
        acceptWaiting(ctx)
        if (current == null) {
            ctx.read()
        }
    }

    private fun acceptWaiting(ctx: ChannelHandlerContext) {
        while (waiting.isNotEmpty()) {
            if (waiting.first() is HttpRequest && current != null) {
                return
            }
            accept(ctx, waiting.removeFirst())
        }
    }
}

private fun closeAfterBody(ctx: ChannelHandlerContext, bodyLeft: Boolean) {
    if (bodyLeft && ctx.channel().isActive) {
        ctx.pipeline().replace(ctx.handler(), null, DiscardingClose())
    } else {
        ctx.close()
    }
}

private fun expire(ctx: ChannelHandlerContext, chunks: ChunkQueue?) {
    when {
        chunks == null -> ctx.close()
        chunks.isComplete -> Unit
        else -> {
            chunks.fail("the request came too slowly")
            refuse(ctx, HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }
}

private fun refuse(ctx: ChannelHandlerContext, status: HttpResponseStatus) {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
    response.headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set(HttpHeaderNames.CONNECTION, "close")
    ctx.writeAndFlush(response).addListener { ctx.close() }
}

private fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
    is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
    is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    else -> HttpResponseStatus.BAD_REQUEST
}

/** The peer went away before its response was whole. */
internal class PeerGone(reason: String) : IOException(reason)
