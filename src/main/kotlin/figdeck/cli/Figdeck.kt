package figdeck.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context

/** The root command. Every flag can also be set by an environment variable that starts with `FIGDECK_`. */
internal class Figdeck : CliktCommand("figdeck") {
    init {
        context { autoEnvvarPrefix = "FIGDECK" }
    }

    override fun help(context: Context): String = "Serves online and batch inference on one fleet."

    override fun run() = Unit
}
