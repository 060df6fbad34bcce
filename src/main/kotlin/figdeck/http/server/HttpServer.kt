package figdeck.http.server

import figdeck.model.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.concurrent.GlobalEventExecutor
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val ACCEPT_BACKLOG = 1024
private val DRAIN_CHECK_INTERVAL = 20.milliseconds

/** How long requests that were already in transit are refused before the connections are closed. */
private val REFUSAL_PERIOD = 100.milliseconds

/** An HTTP/1.1 server that runs [handler] for each call on the event loop of the call's connection. */
public class HttpServer(
    private val group: EventLoopGroup,
    private val limits: HttpServerLimits,
    private val handler: HttpHandler,
) : AutoCloseable {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val listenerState = ListenerState(AtomicInteger(), AtomicBoolean(), AtomicBoolean())
    private val responseMemory = ResponseMemory(limits.responseRoom ?: plainResponseRoom(limits.writeTimeout))
    private var listener: Channel? = null

    /** The number of calls in progress. */
    public val activeCalls: Int get() = listenerState.activeCalls.get()

    /** The bytes of responses that wait for their readers. */
    public val unreadResponseBytes: Long get() = responseMemory.heldBytes

    /** Starts listening on [ip]:[port] and returns the bound address. Port 0 selects a free port. */
    public fun listen(ip: String, port: Int): Address {
        val channel = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(Initializer())
            .bind(ip, port)
            .sync()
            .channel()
        listener = channel
        val bound = channel.localAddress() as InetSocketAddress
        return Address(ip, bound.port)
    }

    /** Stops accepting connections. Calls in progress continue. */
    public fun stopAccepting() {
        listener?.close()?.sync()
    }

    /** Sends `Connection: close` in every response from now on. New connections are still accepted. */
    public fun announceDrain() {
        listenerState.draining.set(true)
    }

    /**
     * Stops accepting connections, sends `Connection: close` in every response and waits for the calls in progress. The
     * wait takes at least [idleGrace], because a request may already be in transit on an idle connection, and at most
     * [timeout]. Requests that arrive after the last call, or after the wait, are refused with 503, so that [close]
     * interrupts no handler that began later.
     */
    public suspend fun drain(idleGrace: Duration, timeout: Duration) {
        stopAccepting()
        announceDrain()
        withTimeoutOrNull(timeout) {
            delay(idleGrace)
            awaitIdle()
            listenerState.refusing.set(true)
            // A call may have begun just before the refusals.
            awaitIdle()
            delay(REFUSAL_PERIOD)
        }
        listenerState.refusing.set(true)
    }

    private suspend fun awaitIdle() {
        while (activeCalls > 0) {
            delay(DRAIN_CHECK_INTERVAL)
        }
    }

    override fun close() {
        stopAccepting()
        connections.close().awaitUninterruptibly()
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            limits.sendBufferBytes?.let { channel.config().sendBufferSize = it }
            channel.pipeline()
                .addLast(StrictRequestDecoder(limits))
                .addLast(HttpResponseEncoder())
                .addLast(ServerConnection(limits, listenerState, responseMemory, handler))
        }
    }
}
