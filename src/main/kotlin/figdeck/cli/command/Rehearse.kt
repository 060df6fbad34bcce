package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import figdeck.cli.EdgeDaemon
import figdeck.cli.EdgeSettings
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.readAll
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

private const val IP = "127.0.0.1"
private const val MAX_REPLY_BYTES = 1024 * 1024

/** Starts a daemon without a store, calls its listeners once and stops, so that the build can archive its classes. */
internal class Rehearse : CliktCommand("rehearse") {
    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context): String = "Start a daemon once and stop it, for the class archive of the build."

    override fun run() {
        val settings = settings()
        val loops = newEventLoops()
        EdgeDaemon(settings, loops).use { daemon ->
            daemon.start()
            HttpClient(loops).use { client ->
                runBlocking {
                    val metrics = Address(IP, settings.metricsPort)
                    listOf(settings.callerAddress, settings.readinessAddress, metrics, settings.peerAddress)
                        .forEach { client.get(it) }
                }
            }
        }
    }

    private suspend fun HttpClient.get(address: Address) {
        exchange(OutgoingRequest(address, "GET", "/")) { it.body.readAll(MAX_REPLY_BYTES) }
    }

    private fun settings(): EdgeSettings = EdgeSettings(
        host = HostId("rehearsal"),
        dataCentre = DataCentre("rehearsal"),
        callerAddress = freeAddress(),
        readinessAddress = freeAddress(),
        peerAddress = freeAddress(),
        storeAddress = freeAddress(),
        metricsPort = freeAddress().port,
        grace = 1.seconds,
        fleetName = "rehearsal",
        seeds = emptyList(),
    )

    private fun freeAddress(): Address = ServerSocket(0).use { Address(IP, it.localPort) }
}
