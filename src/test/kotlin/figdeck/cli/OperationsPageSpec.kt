package figdeck.cli

import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import figdeck.cli.command.Edge
import figdeck.cli.command.Serve
import figdeck.wire.command.decodeTemplate
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.File

class OperationsPageSpec : DescribeSpec({
    val page = File("docs/OPERATIONS.md").readText()

    describe("the operations page") {
        it("lists exactly the settings of the daemons, each with its environment variable and help text") {
            val expected = listOf(Serve(), Edge()).flatMap { command ->
                val name = command.commandName
                val help = shouldThrow<PrintHelpMessage> {
                    Figdeck().subcommands(command).parse(listOf(name, "--help"))
                }
                val context = checkNotNull(help.context)
                command.registeredOptions().filterNot { "--help" in it.names }.map {
                    val flag = it.names.first()
                    val suffix = flag.removePrefix("--").uppercase().replace('-', '_')
                    val variable = "FIGDECK_${name.uppercase()}_$suffix"
                    "| `$flag` | `$variable` | ${it.optionHelp(context)} |"
                }
            }
            page.lines().filter { it.startsWith("| `--") }.sorted() shouldBe expected.sorted()
        }

        it("contains valid templates only") {
            val templates = Regex("```json\n(.*?)```", RegexOption.DOT_MATCHES_ALL).findAll(page).toList()
            templates.map { match -> decodeTemplate(match.groupValues[1]).fold({ "$it" }, { it.name.value }) } shouldBe
                listOf("stado", "kurnimaja")
        }
    }
})
