package figdeck

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import figdeck.cli.Figdeck
import figdeck.cli.command.Demo
import figdeck.cli.command.Serve
import figdeck.cli.command.StandIn
import figdeck.cli.query.MeasureHop

/** Starts the command that the arguments name. */
public fun main(args: Array<String>) {
    Figdeck()
        .subcommands(Serve(), StandIn(), Demo(), MeasureHop())
        .main(args)
}
