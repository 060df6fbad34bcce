package figdeck.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import figdeck.http.client.ExchangeFailure
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.setChecked
import figdeck.wire.command.ChangeErrorDto
import figdeck.wire.command.decodeChangeRefusal
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.runBlocking

private const val MAX_REPLY_BYTES = 64 * 1024 * 1024
private const val HTTP_OK = 200
private const val UNAUTHORIZED = 401

/** A command of the operators' client that sends requests to a daemon. */
internal abstract class OperatorCommand(name: String) : CliktCommand(name) {
    protected val operatorOptions by OperatorOptions()

    /** Sends a request and prints the response: the lines from [format], or the unchanged body with `--json`. */
    protected fun sendAndPrint(method: String, target: String, body: String = "", format: (String) -> List<String>) {
        val text = sendOrExit(method, target, body)
        if (operatorOptions.json) {
            echo(text)
        } else {
            format(text).forEach { echo(it) }
        }
    }

    /** Sends a request and returns the body of the response. Exits if the request fails or the daemon refuses it. */
    protected fun sendOrExit(method: String, target: String, body: String = ""): String {
        val reply = send(method, target, body)
        if (reply.status != HTTP_OK) {
            exitRefused(reply)
        }
        return reply.body
    }

    private fun exitRefused(reply: OperatorReply): Nothing {
        if (operatorOptions.json && reply.body.isNotEmpty()) {
            echo(reply.body)
        }
        if (reply.status == UNAUTHORIZED) {
            exit("the daemon rejected the secret: check --operator-secret", EXIT_REFUSED)
        }
        val error = decodeChangeRefusal(reply.body)
            ?: exit("the daemon answered with status ${reply.status}: see its log", EXIT_REFUSED)
        error.detailLines().forEach { echo(it, err = true) }
        exit(error.message, error.exitCode())
    }

    private fun send(method: String, target: String, body: String): OperatorReply {
        val request = OutgoingRequest(
            address = operatorOptions.address,
            line = RequestLine(method, target),
            headers = newHeaders().setChecked(HttpHeaderNames.AUTHORIZATION, "Bearer ${operatorOptions.secret}")
                .fold({ exit("$it: check --operator-secret", EXIT_REFUSED) }, { it }),
            body = body.encodeToByteArray(),
        )
        val result = HttpClient(newEventLoops()).use { client ->
            runBlocking {
                client.exchange(request) { reply ->
                    val bytes = reply.body.readAll(MAX_REPLY_BYTES).fold({ ByteArray(0) }, { it })
                    OperatorReply(reply.status, bytes.decodeToString())
                }
            }
        }
        return result.fold({ exitOnExchangeFailure(it, method) }, { it })
    }

    private fun exitOnExchangeFailure(failure: ExchangeFailure, method: String): Nothing {
        val isChange = method != "GET"
        if (failure is ExchangeFailure.Lost && isChange) {
            exit("${failure.reason}: check 'figdeck template history' for the change", EXIT_OUTCOME_UNKNOWN)
        }
        exit("${failure.reason}: set --operator-address to the operator address of a running daemon", EXIT_UNAVAILABLE)
    }

    private fun exit(message: String, code: Int): Nothing {
        echo("figdeck: $message", err = true)
        throw ProgramResult(code)
    }
}

private fun ChangeErrorDto.detailLines(): List<String> {
    val faultLines = faults.orEmpty().map { "  ${it.path.ifEmpty { "template" }}: ${it.message}" }
    val changeLines = changes.orEmpty().map { "  revision ${it.revision} by ${it.operator}: ${it.summary}" }
    return faultLines + changeLines
}

private fun ChangeErrorDto.exitCode(): Int = when (type) {
    "conflict" -> EXIT_CONFLICT
    "store_unavailable" -> EXIT_UNAVAILABLE
    "unsettled" -> EXIT_OUTCOME_UNKNOWN
    else -> EXIT_REFUSED
}
