package figdeck.cli.query

import com.github.ajalt.clikt.core.Context
import figdeck.cli.OperatorCommand
import figdeck.cli.formatTable
import figdeck.wire.query.decodeKeyList

/** Lists the ids of the keys in force. The keys themselves are not stored. */
internal class KeyList : OperatorCommand("list") {
    override fun help(context: Context): String = "List the keys in force by id and team."

    override fun run() {
        sendAndPrint("GET", "/v1/keys") { text ->
            formatTable(
                listOf("KEY", "TEAM", "TEMPLATE"),
                decodeKeyList(text).map { listOf(it.id, it.team, it.template) },
            )
        }
    }
}
