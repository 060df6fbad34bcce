package figdeck.http.client

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** A response breaks the syntax or the framing of HTTP/1.1, as [fault] says. */
internal class MalformedResponseException(fault: String) : DecoderException(fault)

/**
 * Decodes the responses of one connection, which carries one exchange at a time. Confined to the event loop.
 *
 * A response that is malformed is not decoded: it is reported as a message with a [MalformedResponseException].
 *
 * Bytes that are received outside of an exchange are discarded. A decoder keeps the beginning of a message until the
 * rest is there, and would otherwise join these bytes to the next response.
 *
 * @property countDecoded is told how many parts of messages were decoded.
 */
internal class ResponseDecoder(private val countDecoded: (parts: Int) -> Unit) : HttpResponseDecoder() {
    private var awaitedMethod: HttpMethod? = null
    private var isInterim = false
    private val syntax = SyntaxCheck()

    /** The first bytes that were received outside of an exchange, at most [STATUS_LINE_PREFIX_BYTES]. */
    var unexpectedBytes: ByteArray = ByteArray(0)
        private set

    /** Whether bytes were received that belong to no exchange. */
    val hasUnexpectedBytes: Boolean get() = unexpectedBytes.isNotEmpty()

    /** Begins an exchange: the next response is the one to a request with [method], which is being written. */
    fun expectResponseTo(method: HttpMethod) {
        awaitedMethod = method
        syntax.startResponse()
    }

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (awaitedMethod == null) {
            if (!hasUnexpectedBytes) {
                unexpectedBytes = ByteBufUtil.getBytes(buffer, buffer.readerIndex(), prefixLength(buffer))
            }
            buffer.skipBytes(buffer.readableBytes())
        } else {
            val fault = syntax.findFault(buffer)
            if (fault == null) decodeChecked(ctx, buffer, out) else reject(fault, buffer, out)
            countDecoded(out.size)
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        awaitedMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    /** Keeps both fields, so that the response can be rejected for them. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) = Unit

    private fun prefixLength(buffer: ByteBuf): Int = minOf(buffer.readableBytes(), STATUS_LINE_PREFIX_BYTES)

    private fun decodeChecked(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val start = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        syntax.countDecoded(buffer.readerIndex() - start)
        val fault = out.firstNotNullOfOrNull { faultOf(it) }
        if (fault == null) {
            out.forEach { updateExchange(it) }
        } else {
            out.clear()
            reject(fault, buffer, out)
        }
    }

    private fun faultOf(decoded: Any): String? = if (decoded is HttpResponse) framingFaultOf(decoded) else null

    /** Ends the exchange with a message that reports [fault]. What follows is discarded. */
    private fun reject(fault: String, buffer: ByteBuf, out: MutableList<Any>) {
        val message = createInvalidMessage()
        message.decoderResult = DecoderResult.failure(MalformedResponseException(fault))
        out += message
        buffer.skipBytes(buffer.readableBytes())
        awaitedMethod = null
    }

    /** Follows the exchange to the end of its response, which interim responses may precede. */
    private fun updateExchange(decoded: Any) {
        if (decoded is HttpResponse) {
            isInterim = decoded.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (HttpUtil.isTransferEncodingChunked(decoded)) syntax.startChunks()
        }
        if (decoded is LastHttpContent) {
            if (isInterim) syntax.startResponse() else awaitedMethod = null
        }
    }
}
