package figdeck.http.server

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects a request with both `Content-Length` and `Transfer-Encoding: chunked`. Proxies disagree on which of the two
 * applies, which allows request smuggling.
 */
internal class StrictRequestDecoder(limits: HttpServerLimits) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(limits.maxRequestLineBytes)
        .setMaxHeaderSize(limits.maxHeaderBytes),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding: send one of them")
    }
}
