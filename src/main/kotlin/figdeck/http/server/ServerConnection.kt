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

/** Handles the calls of one connection, one after another, on the connection's event loop. */
internal class ServerConnection(
    private val limits: HttpServerLimits,
    private val listenerState: ListenerState,
    private val responseMemory: ResponseMemory,
    private val handler: HttpHandler,
) : ChannelInboundHandlerAdapter() {
    private val pendingMessages = ArrayDeque<HttpObject>()
    private lateinit var scope: CoroutineScope
    private var currentCall: Job? = null
    private var requestBody: ChunkQueue? = null
    private lateinit var deadline: ConnectionDeadline

    override fun channelActive(ctx: ChannelHandlerContext) {
        scope = CoroutineScope(ctx.channel().eventLoop().asCoroutineDispatcher() + SupervisorJob())
        deadline = ConnectionDeadline(ctx) { handleDeadline(ctx, requestBody) }
        deadline.start(limits.headerTimeout)
        ctx.read()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val received = msg as HttpObject
        val startsNext = received is HttpRequest && currentCall != null
        if (startsNext || pendingMessages.isNotEmpty()) {
            pendingMessages.addLast(received)
        } else {
            accept(ctx, received)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        requestBody?.endRead()
        if (currentCall == null) {
            ctx.read()
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        deadline.cancel()
        requestBody?.fail("the peer hung up")
        pendingMessages.forEach { ReferenceCountUtil.release(it) }
        pendingMessages.clear()
        scope.cancel()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun accept(ctx: ChannelHandlerContext, received: HttpObject) {
        if (received.decoderResult().isFailure) {
            ReferenceCountUtil.release(received)
            requestBody?.fail("the request can't be read")
            respondAndClose(ctx, errorStatusOf(received.decoderResult().cause()))
            return
        }
        if (received is HttpRequest) {
            if (!listenerState.tryBeginCall()) {
                ReferenceCountUtil.release(received)
                deadline.cancel()
                refuse(ctx)
                return
            }
            startCall(ctx, received)
        }
        if (received is HttpContent) {
            receiveContent(ctx, received)
        }
    }

    private fun startCall(ctx: ChannelHandlerContext, request: HttpRequest) {
        deadline.start(limits.bodyTotalTimeout)
        lateinit var exchange: ServerExchange
        var awaitsContinue = HttpUtil.is100ContinueExpected(request)
        val queue = ChunkQueue(limits.bodyIdleTimeout) {
            // A caller is told to send its body only if the handler reads it.
            if (awaitsContinue && !exchange.hasStarted) {
                ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
            }
            awaitsContinue = false
            ctx.channel().read()
        }
        requestBody = queue
        val share = responseMemory.newShare()
        exchange = ServerExchange(ctx, request, queue, limits, share) { listenerState.draining.get() }
        val call = httpCall(request.method().name(), request.uri(), request.headers(), queue.body)
        val job = scope.launch {
            try {
                exchange.run { handler(call, exchange.responder) }
            } finally {
                finishCall(ctx, exchange.keepsAlive && queue.isComplete)
            }
        }
        currentCall = job
        // A call that is cancelled before it starts ends without reaching its own code.
        job.invokeOnCompletion { listenerState.endCall() }
    }

    private fun receiveContent(ctx: ChannelHandlerContext, content: HttpContent) {
        val queue = requestBody
        queue?.offer(content.content())
        val last = content is LastHttpContent
        ReferenceCountUtil.release(content)
        if (last && queue != null) {
            deadline.cancel()
            queue.complete()
            // A pending read detects that the peer disconnects while its call runs.
            ctx.read()
        }
    }

    private fun finishCall(ctx: ChannelHandlerContext, reuse: Boolean) {
        val isBodyIncomplete = requestBody?.isComplete == false
        currentCall = null
        requestBody = null
        if (!reuse || !ctx.channel().isActive) {
            deadline.cancel()
            closeConnection(ctx, isBodyIncomplete)
            return
        }
        deadline.start(limits.headerTimeout)
        acceptPendingMessages(ctx)
        if (currentCall == null) {
            ctx.read()
        }
    }

    private fun acceptPendingMessages(ctx: ChannelHandlerContext) {
        while (pendingMessages.isNotEmpty()) {
            if (pendingMessages.first() is HttpRequest && currentCall != null) {
                return
            }
            accept(ctx, pendingMessages.removeFirst())
        }
    }
}

private fun closeConnection(ctx: ChannelHandlerContext, isBodyIncomplete: Boolean) {
    if (isBodyIncomplete && ctx.channel().isActive) {
        ctx.pipeline().replace(ctx.handler(), null, LingeringClose())
    } else {
        ctx.close()
    }
}

private fun handleDeadline(ctx: ChannelHandlerContext, requestBody: ChunkQueue?) {
    when {
        requestBody == null -> ctx.close()
        requestBody.isComplete -> Unit
        else -> {
            requestBody.fail("the request came too slowly")
            respondAndClose(ctx, HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }
}

/** Answers a request that arrives while the server closes, and that has therefore not run. */
private fun refuse(ctx: ChannelHandlerContext) {
    val response = closingResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)
    // Another server can answer at once.
    response.headers().set(HttpHeaderNames.RETRY_AFTER, 0)
    ctx.writeAndFlush(response)
    ctx.pipeline().replace(ctx.handler(), null, LingeringClose())
}

private fun respondAndClose(ctx: ChannelHandlerContext, status: HttpResponseStatus) {
    ctx.writeAndFlush(closingResponse(status)).addListener { ctx.close() }
}

private fun closingResponse(status: HttpResponseStatus): DefaultFullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
    response.headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set(HttpHeaderNames.CONNECTION, "close")
    return response
}

private fun errorStatusOf(cause: Throwable): HttpResponseStatus = when (cause) {
    is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
    is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    else -> HttpResponseStatus.BAD_REQUEST
}

/** The peer disconnected, or stopped reading, before the response was complete. */
internal class ResponseAbortedException(reason: String) : IOException(reason)
