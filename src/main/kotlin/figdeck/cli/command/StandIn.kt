package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import figdeck.cli.newEventLoops
import figdeck.http.server.HttpHandler
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.parseAddress
import figdeck.model.systemClock
import figdeck.standin.EngineStandIn
import figdeck.standin.EngineTiming
import figdeck.standin.PlatformLimits
import figdeck.standin.PlatformStandIn
import figdeck.standin.ServiceStandIn
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val DEFAULT_WRITES = 400
private const val DEFAULT_PREFILL_MILLIS = 5L
private const val DEFAULT_TOKEN_MICROS = 2_000L

/** Runs stand-ins for the systems around figdeck. */
internal class StandIn : CliktCommand("stand-in") {
    init {
        subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())
    }

    override fun help(context: Context): String = "Run a stand-in for a system around figdeck."

    override fun run() = Unit
}

/** A command that serves one stand-in at an address. */
internal abstract class StandInCommand(name: String) : CliktCommand(name) {
    private val address by option(help = "Where it listens, ip:port.").convert { parseAddress(it) }.required()

    protected fun serve(handler: HttpHandler) {
        HttpServer(newEventLoops(), HttpServerLimits(), handler).listen(address.ip, address.port)
        echo("stand-in $commandName listens at $address")
        CountDownLatch(1).await()
    }
}

private class PlatformCommand : StandInCommand("platform") {
    private val writesPerSecond by option(help = "Writes a second that it bears.").int().default(DEFAULT_WRITES)
    private val listLagMillis by option(help = "How late the hosts list shows a change, in ms.").long().default(0)

    override fun help(context: Context): String = "The platform's table, objects and hosts list."

    override fun run() {
        val limits = PlatformLimits(writesPerSecond, listLagMillis.milliseconds)
        serve(PlatformStandIn(systemClock, limits).handler)
    }
}

private class EngineCommand : StandInCommand("engine") {
    private val prefillMillis by option(help = "Time to the first token, in ms.").long().default(DEFAULT_PREFILL_MILLIS)
    private val tokenMicros by option(help = "Time of each token, in µs.").long().default(DEFAULT_TOKEN_MICROS)
    private val sequenceMicros by option(
        help = "Added to a token's time by each running sequence, in µs."
    ).long().default(0)
    private val honoursFencing by option(help = "Refuse orders with an old fencing number.").flag()

    override fun help(context: Context): String = "A model engine that batches continuously."

    override fun run() {
        val pace = EngineTiming(prefillMillis.milliseconds, tokenMicros.microseconds, sequenceMicros.microseconds)
        serve(EngineStandIn(pace, systemClock, honoursFencing).handler)
    }
}

private class ServiceCommand : StandInCommand("service") {
    override fun help(context: Context): String = "A plain service that counts how often each call ran."

    override fun run() {
        serve(ServiceStandIn().handler)
    }
}
