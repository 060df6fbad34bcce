package figdeck.http.server

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The current deadline of a connection. Starting a deadline replaces the previous one. Confined to the event loop. */
internal class ConnectionDeadline(
    private val ctx: ChannelHandlerContext,
    private val onExpired: () -> Unit,
) {
    private var pending: ScheduledFuture<*>? = null

    fun start(delay: Duration) {
        cancel()
        pending = ctx.executor().schedule(onExpired, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun cancel() {
        pending?.cancel(false)
    }
}
