package figdeck.cli.query

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import figdeck.cli.OperatorCommand
import figdeck.http.client.encodeSegment
import figdeck.wire.query.ExplainedStepDto
import figdeck.wire.query.decodeSteps
import java.time.Instant

/** Shows what happened to a request, from its durable records. */
internal class Explain : OperatorCommand("explain") {
    private val request by argument(help = "Id of the request, as in X-Request-Id.")

    override fun help(context: Context): String = "Show what happened to a request."

    override fun run() {
        val target = "/v1/explain/${encodeSegment(request)}"
        sendAndPrint("GET", target) { text -> decodeSteps(text).map { it.summaryLine() } }
    }
}

private fun ExplainedStepDto.summaryLine(): String {
    val place = listOfNotNull("host $host", upstream?.let { "upstream $it" }).joinToString(", ")
    return "${Instant.ofEpochMilli(atMillis)} $step at $place: $detail"
}
