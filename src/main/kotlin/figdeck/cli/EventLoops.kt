package figdeck.cli

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory

private const val MAX_TRAFFIC_THREADS = 4

/** Creates the event loops that serve traffic, one per processor up to [MAX_TRAFFIC_THREADS]. */
internal fun newEventLoops(): EventLoopGroup {
    val threads = Runtime.getRuntime().availableProcessors().coerceIn(1, MAX_TRAFFIC_THREADS)
    return MultiThreadIoEventLoopGroup(
        threads,
        DefaultThreadFactory("figdeck-traffic", true),
        NioIoHandler.newFactory()
    )
}
