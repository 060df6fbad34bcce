package figdeck.cli.query

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import figdeck.cli.OperatorCommand
import figdeck.wire.query.ExplainedStepDto
import figdeck.wire.query.decodeSteps
import java.time.Instant

/** Tells from durable records what became of a request. */
internal class Explain : OperatorCommand("explain") {
    private val request by argument(help = "The request's id, as in X-Request-Id.")

    override fun help(context: Context): String = "Tell what became of a request."

    override fun run() {
        sendAndPrint("GET", "/v1/explain/$request") { text -> decodeSteps(text).map { it.summaryLine() } }
    }
}

private fun ExplainedStepDto.summaryLine(): String {
    val place = listOfNotNull("host $host", upstream?.let { "upstream $it" }).joinToString(", ")
    return "${Instant.ofEpochMilli(atMillis)} $step at $place: $detail"
}
