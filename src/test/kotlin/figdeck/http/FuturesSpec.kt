package figdeck.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.DefaultChannelPromise
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield

class FuturesSpec : DescribeSpec({
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    afterSpec { group.shutdownGracefully() }

    describe("a wait for a connection") {
        // Guards against connections that stay open for ever, because their caller left as they were made.
        it("closes the connection if it is cancelled as the connection is made") {
            val loop = group.next()
            val channel = EmbeddedChannel()
            val promise = DefaultChannelPromise(channel, loop)
            withContext(loop.asCoroutineDispatcher()) {
                val wait = CoroutineScope(loop.asCoroutineDispatcher()).launch { promise.awaitChannel() }
                yield()
                promise.addListener { wait.cancel() }
                promise.setSuccess()
                wait.join()
            }
            channel.isOpen shouldBe false
        }
    }
})
