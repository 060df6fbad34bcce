package figdeck

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import figdeck.cli.Figdeck
import figdeck.cli.command.Demo
import figdeck.cli.command.DrainCommand
import figdeck.cli.command.Edge
import figdeck.cli.command.KeyGroup
import figdeck.cli.command.Rehearse
import figdeck.cli.command.Serve
import figdeck.cli.command.StandIn
import figdeck.cli.command.TemplateGroup
import figdeck.cli.query.Bench
import figdeck.cli.query.Explain
import figdeck.cli.query.MeasureHop
import figdeck.cli.query.Status

private val commandFactories: Map<String, () -> CliktCommand> = mapOf(
    "serve" to ::Serve,
    "edge" to ::Edge,
    "rehearse" to ::Rehearse,
    "stand-in" to ::StandIn,
    "demo" to ::Demo,
    "bench" to ::Bench,
    "measure-hop" to ::MeasureHop,
    "template" to ::TemplateGroup,
    "key" to ::KeyGroup,
    "status" to ::Status,
    "explain" to ::Explain,
    "drain" to ::DrainCommand,
)

/**
 * Runs the command that the arguments name. Builds all commands only if the first argument names none, for the help
 * text: a daemon starts faster without the others.
 */
public fun main(args: Array<String>) {
    val selected = commandFactories[args.firstOrNull()]
    val subcommandInstances = if (selected == null) commandFactories.values.map { it() } else listOf(selected())
    Figdeck().subcommands(subcommandInstances).main(args)
}
