package figdeck.http.server

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

private const val LINGER_TIMEOUT_MILLIS = 1_000L

/**
 * Closes a connection whose peer is still sending a request body that is no longer needed.
 *
 * It first discards the rest of the body, for at most [LINGER_TIMEOUT_MILLIS]. An immediate close would reset the
 * connection, and the peer might not receive the response that tells it why its request was refused.
 */
internal class LingeringClose : ChannelInboundHandlerAdapter() {
    override fun handlerAdded(ctx: ChannelHandlerContext) {
        ctx.channel().config().isAutoRead = true
        ctx.executor().schedule({ ctx.close() }, LINGER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        ReferenceCountUtil.release(msg)
        if (msg is LastHttpContent) {
            ctx.close()
        }
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
