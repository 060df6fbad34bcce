package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.file
import figdeck.cli.OperatorCommand
import figdeck.cli.query.TemplateHistory
import figdeck.cli.query.TemplateShow
import figdeck.http.client.encodeSegment
import figdeck.wire.command.templateName

private const val TEMPLATES_PATH = "/v1/templates"

/** Groups the commands that manage templates. */
internal class TemplateGroup : CliktCommand("template") {
    init {
        subcommands(TemplateCheck(), TemplateApply(), TemplateRemove(), TemplateShow(), TemplateHistory())
    }

    override fun help(context: Context): String = "Check, apply, remove and show templates."

    override fun run() = Unit
}

private class TemplateCheck : OperatorCommand("check") {
    private val file by argument(help = "Template as JSON.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Report every fault in a template without applying it."

    override fun run() {
        sendAndPrint("POST", "$TEMPLATES_PATH/check", file.readText()) { listOf("no fault") }
    }
}

private class TemplateApply : ChangeCommand("apply") {
    private val file by argument(help = "Template as JSON.").file(mustExist = true, canBeDir = false)

    override fun help(context: Context): String = "Apply a template, replacing the one with the same name."

    override fun run() {
        val text = file.readText()
        submitChange("PUT", "$TEMPLATES_PATH/${encodeSegment(templateName(text) ?: file.nameWithoutExtension)}", text)
    }
}

private class TemplateRemove : ChangeCommand("remove") {
    private val template by argument(help = "Name of the template.")

    override fun help(context: Context): String = "Remove a template."

    override fun run() {
        submitChange("DELETE", "$TEMPLATES_PATH/${encodeSegment(template)}")
    }
}
