package figdeck.cli.command

import com.github.ajalt.clikt.core.Context
import figdeck.cli.OperatorCommand

/** Asks a daemon to stop as planned. */
internal class DrainCommand : OperatorCommand("drain") {
    override fun help(context: Context): String = "Have a daemon finish its work and stop; no request is cut."

    override fun run() {
        sendAndPrint("POST", "/v1/drain") { listOf("the daemon at ${operatorOptions.address} drains") }
    }
}
