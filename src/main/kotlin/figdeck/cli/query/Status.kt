package figdeck.cli.query

import com.github.ajalt.clikt.core.Context
import figdeck.cli.OperatorCommand
import figdeck.cli.formatTable
import figdeck.wire.query.StatusDto
import figdeck.wire.query.decodeStatus

/** Shows the state of one daemon. */
internal class Status : OperatorCommand("status") {
    override fun help(context: Context): String = "Show a daemon's revision and whether it is current."

    override fun run() {
        sendAndPrint("GET", "/v1/status") { text -> decodeStatus(text).lines() }
    }
}

private fun StatusDto.lines(): List<String> {
    val confirmed = confirmedMillisAgo?.let { "$it ms ago" } ?: "never"
    val row = listOf(host, "$revision", yesOrNo(current), confirmed, yesOrNo(!tableInDoubt), yesOrNo(draining))
    val header = listOf("HOST", "REVISION", "CURRENT", "CONFIRMED", "TABLE ANSWERS", "DRAINING")
    return formatTable(header, listOf(row)) + leaving.map { "leaving upstream: $it" }
}

private fun yesOrNo(value: Boolean): String = if (value) "yes" else "no"
