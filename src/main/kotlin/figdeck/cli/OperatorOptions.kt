package figdeck.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import figdeck.model.parseAddress

/** The options that all commands of the operators' client share. */
internal class OperatorOptions : OptionGroup("Operator options") {
    val address by option(
        "--operator-address",
        envvar = "FIGDECK_OPERATOR_ADDRESS",
        help = "Operator address of any daemon, ip:port.",
    ).convert { parseAddress(it) }.required()
    val secret by option(
        "--operator-secret",
        envvar = "FIGDECK_OPERATOR_SECRET",
        help = "Secret of operators.",
    ).required()
    val operator by option(
        "--operator",
        envvar = "FIGDECK_OPERATOR",
        help = "Your name in the history of changes.",
    ).default("unnamed")
    val json by option("--json", help = "Print the response as JSON.").flag()
}
