package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import figdeck.cli.EdgeDaemon
import figdeck.cli.EdgeSettings
import figdeck.cli.RawEdgeSettings
import figdeck.cli.newEventLoops
import figdeck.cli.validate
import figdeck.log.PartLog
import kotlinx.coroutines.runBlocking
import sun.misc.Signal

private val log = PartLog("edge")

/** Runs a daemon on the users' platform until a planned stop is requested. */
internal class Edge : CliktCommand("edge") {
    private val host by option(help = "Name of this host.").default("")
    private val dataCentre by option(help = "Data centre of this host.").default("")
    private val callerAddress by option(help = "Where callers connect, ip:port.").default("")
    private val readinessAddress by option(help = "Where the balancer asks for readiness, ip:port.").default("")
    private val peerAddress by option(help = "Where other daemons connect, ip:port.").default("")
    private val storeAddress by option(help = "Where the platform's store listens, ip:port.").default("")
    private val metricsPort by option(help = "Port of the metrics.").default("9464")
    private val graceSeconds by option(help = "Seconds from the request to stop until the end.").default("8")
    private val fleetName by option(help = "What daemons of one fleet show each other.").default("figdeck")

    private val seeds by option(help = "Where other daemons may listen for each other, ip:port,ip:port.").default("")

    private val cores by option(help = "Processor time that this daemon may use, in cores.").default("1")

    private val region by option(help = "Region of this host.").default("")

    private val dataCentreRegions by option(help = "The region of each data centre, a JSON object.").default("")

    private val placement by option(help = "How upstreams are chosen: free-slots or expected-completion.")
        .default("free-slots")

    private val resultRetentionSeconds by option(
        help = "Seconds from the submission of a batch job for which its results are kept; all are kept without it.",
    ).default("")

    override fun help(context: Context): String = "Run a daemon on the users' platform."

    override fun run() {
        rawSettings().validate().fold(
            { faults ->
                faults.forEach { echo("figdeck: $it", err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            },
            { runDaemon(it) },
        )
    }

    private fun rawSettings() = RawEdgeSettings(
        host = host,
        dataCentre = dataCentre,
        callerAddress = callerAddress,
        readinessAddress = readinessAddress,
        peerAddress = peerAddress,
        storeAddress = storeAddress,
        metricsPort = metricsPort,
        graceSeconds = graceSeconds,
        fleetName = fleetName,
        seeds = seeds,
        cores = cores,
        region = region,
        dataCentreRegions = dataCentreRegions,
        placement = placement,
        resultRetentionSeconds = resultRetentionSeconds,
    )

    private fun runDaemon(settings: EdgeSettings) {
        EdgeDaemon(settings, newEventLoops()).use { daemon ->
            Signal.handle(Signal("TERM")) { daemon.stopRequested.complete(Unit) }
            Signal.handle(Signal("HUP")) { log.info { "ignoring SIGHUP: settings are read only at startup" } }
            daemon.start()
            log.info { "host ${settings.host} serves callers at ${settings.callerAddress}" }
            runBlocking {
                daemon.stopRequested.await()
                daemon.drain()
            }
        }
    }
}
