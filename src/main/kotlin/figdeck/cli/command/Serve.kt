package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import figdeck.cli.DRAIN_TIMEOUT
import figdeck.cli.Daemon
import figdeck.cli.RawSettings
import figdeck.cli.Settings
import figdeck.cli.newEventLoops
import figdeck.cli.validate
import figdeck.log.PartLog
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The exit code of a daemon with invalid settings. */
internal const val EXIT_BAD_SETTINGS = 2
private val log = PartLog("serve")

/** Runs a daemon until a planned stop is requested. */
internal class Serve : CliktCommand("serve") {
    private val host by option(help = "Name of this host.").default("")
    private val dataCentre by option(help = "Data centre of this host.").default("")
    private val region by option(help = "Region of this host.").default("")
    private val callerAddress by option(help = "Where callers connect, ip:port.").default("")
    private val peerAddress by option(help = "Where other daemons connect, ip:port.").default("")
    private val operatorAddress by option(help = "Where operators connect, ip:port.").default("")
    private val platformAddress by option(help = "Where the platform's service listens, ip:port.").default("")
    private val peerSecret by option(help = "Secret between daemons.").default("")
    private val operatorSecret by option(help = "Secret of operators.").default("")
    private val upstreamSecret by option(help = "Secret shown to upstreams.").default("")

    private val traceEndpoint by option(help = "Where spans go by OTLP over HTTP, as a URL; nowhere when not set.")

    override fun help(context: Context): String = "Run a daemon."

    override fun run() {
        rawSettings().validate().fold(
            { faults ->
                faults.forEach { echo("figdeck: $it", err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            },
            { runDaemon(it) },
        )
    }

    private fun rawSettings() = RawSettings(
        host = host,
        dataCentre = dataCentre,
        region = region,
        callerAddress = callerAddress,
        peerAddress = peerAddress,
        operatorAddress = operatorAddress,
        platformAddress = platformAddress,
        peerSecret = peerSecret,
        operatorSecret = operatorSecret,
        upstreamSecret = upstreamSecret,
        traceEndpoint = traceEndpoint,
    )

    private fun runDaemon(settings: Settings) {
        Daemon(settings, newEventLoops()).use { daemon ->
            val stopped = CountDownLatch(1)
            val hook = Thread {
                daemon.stopRequested.complete(Unit)
                stopped.await(DRAIN_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
            }
            Runtime.getRuntime().addShutdownHook(hook)
            daemon.start()
            log.info { "host ${settings.host} serves callers at ${settings.callerAddress}" }
            runBlocking {
                daemon.stopRequested.await()
                daemon.drain()
            }
            stopped.countDown()
        }
    }
}
