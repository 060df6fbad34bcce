package figdeck.upstream.command

import figdeck.http.RawUpstream
import figdeck.http.send
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/**
 * An upstream that keeps its connections open and sends each [response] to a request id once more on the same
 * connection, in front of the answer to the next request there.
 */
internal fun answeringTwice(response: (requestId: String) -> String): RawUpstream {
    val latest = ConcurrentHashMap<Socket, String>()
    return RawUpstream { request, socket ->
        val answer = response(checkNotNull(request.header("X-Request-Id")))
        socket.send(latest.put(socket, answer).orEmpty() + answer)
    }
}
