package figdeck.platform

import com.dynatrace.hash4j.hashing.Hashing
import figdeck.http.server.HttpCall
import figdeck.model.serving.RequestFingerprint
import io.netty.handler.codec.http.HttpHeaderNames

private const val HEX_RADIX = 16

/** A hash of the parts of a request that its caller repeats: all that its upstream works on, but not its attempt id. */
internal fun fingerprintOf(call: HttpCall, body: ByteArray): RequestFingerprint {
    val stream = Hashing.komihash5_0().hashStream()
    stream.putString(call.method)
    stream.putString(call.headers.get(HttpHeaderNames.HOST).orEmpty())
    stream.putString(call.target)
    stream.putString(call.headers.get(PROMPT_PREFIX_HEADER).orEmpty())
    stream.putByteArray(body)
    return RequestFingerprint(stream.asLong.toULong().toString(HEX_RADIX))
}
