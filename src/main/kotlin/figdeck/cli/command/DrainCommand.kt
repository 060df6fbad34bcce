package figdeck.cli.command

import com.github.ajalt.clikt.core.Context
import figdeck.cli.OperatorCommand

/** Requests a planned stop of a daemon. */
internal class DrainCommand : OperatorCommand("drain") {
    override fun help(context: Context): String = "Make a daemon finish its work and stop; no request is interrupted."

    override fun run() {
        sendAndPrint("POST", "/v1/drain") { listOf("the daemon at ${operatorOptions.address} is draining") }
    }
}
