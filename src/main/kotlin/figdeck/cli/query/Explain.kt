package figdeck.cli.query

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.model.parseAddress
import figdeck.wire.query.ExplainedStepDto
import figdeck.wire.query.decodeSteps
import kotlinx.coroutines.runBlocking
import java.time.Instant

private const val OK = 200
private const val MAX_BYTES = 16 * 1024 * 1024
private const val EXIT_NOT_EXPLAINED = 1

/** Tells from durable records what became of a request. */
internal class Explain : CliktCommand("explain") {
    private val request by argument(help = "The request's id, as in X-Request-Id.")
    private val operatorAddress by option(help = "Where a daemon listens for operators, ip:port.")
        .convert { parseAddress(it) }
        .required()
    private val operatorSecret by option(help = "Secret of operators.").required()
    private val json by option(help = "Print the whole record as JSON.").flag()

    override fun help(context: Context): String = "Tell what became of a request."

    override fun run() {
        val group = newEventLoops()
        val answer = HttpClient(group).use { client -> runBlocking { fetch(client) } }
        group.shutdownGracefully()
        if (answer == null) {
            throw ProgramResult(EXIT_NOT_EXPLAINED)
        }
        if (json) echo(answer) else decodeSteps(answer).forEach { echo(it.line()) }
    }

    private suspend fun fetch(client: HttpClient): String? {
        val headers = newHeaders().set("Authorization", "Bearer $operatorSecret")
        val ask = OutgoingRequest(operatorAddress, "GET", "/v1/explain/$request", headers)
        return client.exchange(ask) { reply ->
            val text = reply.body.readAll(MAX_BYTES).fold({ "" }, { it.decodeToString() })
            if (reply.status != OK) echo("figdeck: $text", err = true)
            text.takeIf { reply.status == OK }
        }.fold(
            { failure ->
                echo("figdeck: $operatorAddress: ${failure.reason}", err = true)
                null
            },
            { it },
        )
    }
}

private fun ExplainedStepDto.line(): String {
    val place = listOfNotNull("host $host", upstream?.let { "upstream $it" }).joinToString(", ")
    return "${Instant.ofEpochMilli(atMillis)} $step at $place: $detail"
}
