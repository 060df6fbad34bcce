package figdeck.http.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.http.IncompleteMessageException
import figdeck.http.READ_GRACE
import figdeck.http.awaitChannel
import figdeck.http.headerFault
import figdeck.model.Address
import figdeck.telemetry.injectTrace
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val CONNECT_TIMEOUT = 1.seconds

/** The idle time after which a connection is no longer reused if its peer sends no `Keep-Alive` timeout. */
private val DEFAULT_KEEP_ALIVE = 4.seconds

/**
 * How long before the peer's idle timeout a connection is no longer reused, so that no request is sent while the peer
 * closes the connection.
 */
private val CLOSE_MARGIN = 500.milliseconds

/**
 * An HTTP/1.1 client that reuses connections. Each connection carries one exchange at a time, so a response can't be
 * matched with the wrong request.
 *
 * @param sendBufferBytes the bytes that the system holds for each connection until its peer reads them; null for the
 * system's own choice, which is some megabytes for a fast link.
 */
public class HttpClient(
    private val group: EventLoopGroup,
    private val connectTimeout: Duration = CONNECT_TIMEOUT,
    private val sendBufferBytes: Int? = null,
) : AutoCloseable {
    private val idle = IdleConnections()

    /**
     * Sends [request], passes the response to [handle] and returns the result of [handle].
     *
     * If the coroutine is cancelled or [handle] does not read the whole body, the connection is closed, which cancels
     * the request at the peer.
     */
    public suspend fun <R> exchange(
        request: OutgoingRequest,
        handle: suspend (HttpReply) -> R,
    ): Either<ExchangeFailure, R> {
        injectTrace(request.headers)
        val fault = request.headers.firstNotNullOfOrNull { (name, value) -> headerFault(name, value) }
        return if (fault == null) connectAndExchange(request, handle) else ExchangeFailure.NotSent(fault).left()
    }

    override fun close() {
        idle.close()
    }

    private suspend fun <R> connectAndExchange(
        request: OutgoingRequest,
        handle: suspend (HttpReply) -> R,
    ): Either<ExchangeFailure, R> {
        val channel = try {
            acquire(request)
        } catch (e: IOException) {
            return ExchangeFailure.NotSent("connect to ${request.address}: ${e.message}").left()
        }
        val connection = channel.pipeline().get(ClientConnection::class.java)
        return try {
            sendAndHandle(connection, request, handle)
        } finally {
            release(request, channel, connection)
        }
    }

    private suspend fun <R> sendAndHandle(
        connection: ClientConnection,
        request: OutgoingRequest,
        handle: suspend (HttpReply) -> R,
    ): Either<ExchangeFailure, R> = try {
        val head = connection.send(request)
        val reply = withTimeoutOrNull(request.headTimeout) { head.await() }
            ?: withTimeoutOrNull(READ_GRACE) { head.await() }
        if (reply == null) {
            val reason = "${request.address} sent no response for ${request.headTimeout}"
            ExchangeFailure.Lost(reason, LossCause.TIMEOUT).left()
        } else {
            handle(reply).right()
        }
    } catch (e: IncompleteMessageException) {
        ExchangeFailure.Lost("${request.address}: ${e.message}", e.lossCause).left()
    }

    private suspend fun acquire(request: OutgoingRequest): Channel {
        val idleChannel = if (request.freshConnection) null else idle.take(request.address)
        return idleChannel ?: connect(request.address)
    }

    private suspend fun connect(address: Address): Channel = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .apply { sendBufferBytes?.let { option(ChannelOption.SO_SNDBUF, it) } }
        .handler(ClientInitializer)
        .connect(address.ip, address.port)
        .awaitChannel()

    private fun release(request: OutgoingRequest, channel: Channel, connection: ClientConnection) {
        val mayReuse = !request.headers.contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)
        if (mayReuse && connection.isReusable && channel.isActive) {
            val duration = connection.keepAliveTimeout?.let { it - CLOSE_MARGIN } ?: DEFAULT_KEEP_ALIVE
            idle.put(request.address, channel, duration)
        } else {
            channel.close()
        }
    }
}

private object ClientInitializer : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        val reads = FairReads()
        channel.config().setRecvByteBufAllocator(reads)
        val decoder = ResponseDecoder(reads::countDecoded)
        channel.pipeline()
            .addLast(decoder)
            .addLast(HttpRequestEncoder())
            .addLast(ClientConnection(decoder))
    }

    override fun isSharable(): Boolean = true
}
