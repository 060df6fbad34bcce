package figdeck

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

/** Starts the command that the arguments name. */
public fun main(args: Array<String>) {
    Figdeck()
        .subcommands(Serve(), Edge(), Rehearse(), StandIn(), Demo(), Bench(), MeasureHop())
        .subcommands(TemplateGroup(), KeyGroup(), Status(), Explain(), DrainCommand())
        .main(args)
}
