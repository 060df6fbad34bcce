package figdeck.cli.query

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import figdeck.cli.OperatorCommand
import figdeck.cli.formatTable
import figdeck.http.client.encodeSegment
import figdeck.wire.query.decodeHistory
import figdeck.wire.query.decodeTemplateList
import java.time.Instant

/** Lists the templates in force, or shows one in full. */
internal class TemplateShow : OperatorCommand("show") {
    private val template by argument(help = "Name of a template to show in full.").optional()

    override fun help(context: Context): String = "List the templates in force, or show one in full."

    override fun run() {
        val name = template
        if (name == null) {
            sendAndPrint("GET", "/v1/templates") { templateTable(it) }
        } else {
            sendAndPrint("GET", "/v1/templates/${encodeSegment(name)}") { listOf(it) }
        }
    }
}

/** Shows the history of configuration changes: what was changed, when and by whom. */
internal class TemplateHistory : OperatorCommand("history") {
    private val after by option(help = "Show only changes after this revision.").long().default(0)

    override fun help(context: Context): String = "Show the changes of the configuration, oldest first."

    override fun run() {
        sendAndPrint("GET", "/v1/changes?after=$after") { historyTable(it) }
    }
}

private fun templateTable(text: String): List<String> {
    val list = decodeTemplateList(text)
    val rows = list.templates.map { listOf(it.name, "${it.upstreams}", "${it.models}", "${it.routes}", "${it.teams}") }
    val header = listOf("TEMPLATE", "UPSTREAMS", "MODELS", "ROUTES", "TEAMS")
    return listOf("revision ${list.revision}") + formatTable(header, rows)
}

private fun historyTable(text: String): List<String> = formatTable(
    listOf("REVISION", "TIME", "OPERATOR", "CHANGE", "WHAT"),
    decodeHistory(text).map {
        listOf("${it.revision}", Instant.ofEpochMilli(it.atMillis).toString(), it.operator, it.change, it.summary)
    },
)
