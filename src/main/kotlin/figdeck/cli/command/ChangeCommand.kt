package figdeck.cli.command

import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import figdeck.cli.EXIT_NOT_CONFIRMED_EVERYWHERE
import figdeck.cli.OperatorCommand
import figdeck.http.client.encodeSegment
import figdeck.wire.command.ChangeReplyDto
import figdeck.wire.command.decodeChangeReply
import java.security.SecureRandom

private const val CHANGE_ID_RADIX = 36

/** A command of the operators' client that changes the configuration. */
internal abstract class ChangeCommand(name: String) : OperatorCommand(name) {
    private val expectedRevision by option(help = "Apply the change only if this revision is in force.").long()

    /** Submits a change and prints its revision. Exits with an error code if not all known hosts have confirmed it. */
    protected fun submitChange(method: String, path: String, body: String = "", team: String? = null) {
        val id = java.lang.Long.toUnsignedString(SecureRandom().nextLong(), CHANGE_ID_RADIX)
        val parameters = listOfNotNull(
            "change=$id",
            "operator=${encodeSegment(operatorOptions.operator)}",
            expectedRevision?.let { "expected=$it" },
            team?.let { "team=${encodeSegment(it)}" },
        )
        val text = sendOrExit(method, "$path?${parameters.joinToString("&")}", body)
        val accepted = decodeChangeReply(text)
        if (operatorOptions.json) echo(text) else echo(accepted.summaryLine())
        if (accepted.missing.isNotEmpty()) {
            echo("figdeck: not yet confirmed by ${accepted.missing.joinToString()}: see 'figdeck status'", err = true)
            throw ProgramResult(EXIT_NOT_CONFIRMED_EVERYWHERE)
        }
    }
}

private fun ChangeReplyDto.summaryLine(): String =
    "revision $revision: $summary; in force on ${hosts - missing.size} of $hosts hosts"
