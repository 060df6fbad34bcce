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

private const val DEFAULT_WRITES_PER_SECOND = 400
private const val DEFAULT_PREFILL_MILLIS = 5L
private const val DEFAULT_TOKEN_MICROS = 2_000L

/** Groups the commands that run stand-ins for the systems around figdeck. */
internal class StandIn : CliktCommand("stand-in") {
    init {
        subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())
    }

    override fun help(context: Context): String = "Run a stand-in for a system around figdeck."

    override fun run() = Unit
}

/** A command that runs one stand-in as an HTTP server. */
internal abstract class StandInCommand(name: String) : CliktCommand(name) {
    private val address by option(help = "Address to listen on, ip:port.").convert { parseAddress(it) }.required()

    protected fun serve(handler: HttpHandler) {
        HttpServer(newEventLoops(), HttpServerLimits(), handler).listen(address.ip, address.port)
        echo("stand-in $commandName listens at $address")
        CountDownLatch(1).await()
    }
}

private class PlatformCommand : StandInCommand("platform") {
    private val writesPerSecond by option(
        help = "Maximum number of writes per second."
    ).int().default(DEFAULT_WRITES_PER_SECOND)
    private val listLagMillis by option(help = "Delay until the host list shows a change, in ms.").long().default(0)

    override fun help(context: Context): String = "Serve the platform's table, objects and host list."

    override fun run() {
        val limits = PlatformLimits(writesPerSecond, listLagMillis.milliseconds)
        serve(PlatformStandIn(systemClock, limits).handler)
    }
}

private class EngineCommand : StandInCommand("engine") {
    private val prefillMillis by option(help = "Time to the first token, in ms.").long().default(DEFAULT_PREFILL_MILLIS)
    private val tokenMicros by option(help = "Time per token, in µs.").long().default(DEFAULT_TOKEN_MICROS)
    private val sequenceMicros by option(
        help = "Extra time per token for each running sequence, in µs."
    ).long().default(0)
    private val honoursFencing by option(help = "Refuse requests with an outdated fencing token.").flag()

    override fun help(context: Context): String = "Serve a model engine with continuous batching."

    override fun run() {
        val pace = EngineTiming(prefillMillis.milliseconds, tokenMicros.microseconds, sequenceMicros.microseconds)
        serve(EngineStandIn(pace, systemClock, honoursFencing).handler)
    }
}

private class ServiceCommand : StandInCommand("service") {
    override fun help(context: Context): String = "Serve a plain service that counts how often it ran each call."

    override fun run() {
        serve(ServiceStandIn().handler)
    }
}
