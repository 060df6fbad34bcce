package figdeck.http.server

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Refuses a request that carries both lengths, which proxies read differently (request smuggling). */
internal class StrictRequestDecoder(limits: HttpServerLimits) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(limits.maxRequestLineBytes)
        .setMaxHeaderSize(limits.maxHeaderBytes),
) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding: send one of them")
    }
}
