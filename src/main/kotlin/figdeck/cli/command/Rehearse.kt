package figdeck.cli.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import figdeck.cli.EdgeDaemon
import figdeck.cli.EdgeSettings
import figdeck.cli.newEventLoops
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.http.server.HttpServer
import figdeck.http.server.HttpServerLimits
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.RowWrite
import figdeck.model.TableTransaction
import figdeck.model.systemClock
import figdeck.platform.ATTEMPT_ID
import figdeck.platform.PLAN_TABLE
import figdeck.platform.RUNNER_TABLE
import figdeck.platform.StoreClient
import figdeck.standin.PlatformStandIn
import figdeck.standin.RunnerStandIn
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val IP = "127.0.0.1"
private const val OK = 200
private const val MAX_REPLY_BYTES = 1024 * 1024
private const val MAX_CHECKS = 200
private val CHECK_INTERVAL = 20.milliseconds
private const val UPSTREAM = "rehearsal-1"
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"desk","Host":"localhost","Prefix":"/desk/","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2},
  {"Name":"chat","Host":"localhost","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true},
  {"Name":"notes","Host":"localhost","Prefix":"/notes/","Kind":"batch","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":3,"RunTargetMs":18000,"MaxWaitS":60}],
 "Tenants":[{"Name":"rehearsal","ApiKeys":["key"],"RatePerS":50,"Burst":50}]}"""
private const val JOB = """{"Requests":[{"Id":"item","Path":"/notes/1","Headers":{},"Body":"","Tokens":1}]}"""

/** Serves one request of each kind against stand-ins, so that the build can archive the classes of a daemon. */
internal class Rehearse : CliktCommand("rehearse") {
    override val hiddenFromHelp: Boolean = true

    override fun help(context: Context): String = "Serve against stand-ins once, for the class archive of the build."

    override fun run() {
        val loops = newEventLoops()
        val store = HttpServer(loops, HttpServerLimits(), PlatformStandIn(systemClock).handler).listen(IP, 0)
        val settings = settings(store)
        EdgeDaemon(settings, loops).use { daemon ->
            RunnerStandIn(loops, UPSTREAM).use { upstream ->
                HttpClient(loops).use { client ->
                    runBlocking {
                        client.publish(store, upstream)
                        daemon.start()
                        client.serveOnce(settings)
                    }
                }
            }
        }
    }

    private suspend fun HttpClient.publish(store: Address, upstream: RunnerStandIn) {
        val rows = listOf(
            RowWrite("$PLAN_TABLE/config", PLAN),
            RowWrite("$RUNNER_TABLE/$UPSTREAM", upstream.entry("pool")),
        )
        StoreClient(this, store).store.commands.commit(TableTransaction(emptyList(), rows))
    }

    private suspend fun HttpClient.serveOnce(settings: EdgeSettings) {
        repeat(MAX_CHECKS) {
            if (send(settings.readinessAddress, "GET", "/") != OK) {
                delay(CHECK_INTERVAL)
            }
        }
        val front = settings.callerAddress
        send(front, "POST", "/desk/1", "hello")
        send(front, "POST", "/chat/1", "hello")
        send(front, "POST", "/notes/1", JOB)
        delay(1.seconds)
        send(front, "GET", "/lots/rehearsal?After=0")
        send(front, "GET", "/items/rehearsal?Id=item")
        send(front, "DELETE", "/lots/rehearsal")
        send(Address(IP, settings.metricsPort), "GET", "/metrics")
        send(settings.peerAddress, "POST", "/peer/view")
    }

    private suspend fun HttpClient.send(address: Address, method: String, target: String, body: String = ""): Int? {
        val headers = newHeaders()
            .set(HttpHeaderNames.HOST, "localhost")
            .set(HttpHeaderNames.AUTHORIZATION, "Bearer key")
            .set(ATTEMPT_ID, "rehearsal")
        return exchange(OutgoingRequest(address, method, target, headers, body.encodeToByteArray())) { reply ->
            reply.body.readAll(MAX_REPLY_BYTES)
            reply.status
        }.getOrNull()
    }

    private fun settings(store: Address): EdgeSettings = EdgeSettings(
        host = HostId("rehearsal"),
        dataCentre = DataCentre("centre-a"),
        callerAddress = freeAddress(),
        readinessAddress = freeAddress(),
        peerAddress = freeAddress(),
        storeAddress = store,
        metricsPort = freeAddress().port,
        grace = 1.seconds,
        fleetName = "rehearsal",
        seeds = emptyList(),
        cores = 1.0,
    )

    private fun freeAddress(): Address = ServerSocket(0).use { Address(IP, it.localPort) }
}
