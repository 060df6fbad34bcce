package figdeck.process

import arrow.core.getOrElse
import figdeck.http.client.HttpClient
import figdeck.http.client.OutgoingRequest
import figdeck.http.client.RequestLine
import figdeck.http.newHeaders
import figdeck.http.readAll
import figdeck.model.Address
import figdeck.model.SHARD_COUNT
import figdeck.model.Template
import figdeck.wire.command.encodeTemplate
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.delay
import java.io.File
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

const val LOOPBACK = "127.0.0.1"
const val OPERATOR_SECRET = "operator-secret"
private const val MAX_BODY_BYTES = 64 * 1024 * 1024
private val JVM_FLAGS = listOf("-Xmx256m", "-XX:+UseSerialGC")

/** One process of a fleet under test. */
data class FleetProcess(
    val name: String,
    val process: Process,
    val addresses: List<Address>,
    val log: File,
) {
    val address: Address get() = addresses.first()
    val operatorAddress: Address get() = addresses[1]
    val peerAddress: Address get() = addresses[2]

    /** Kills the process with no chance to stop cleanly, as when its host is lost. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Requests a planned stop. */
    fun stop() {
        process.destroy()
    }

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", process.pid().toString()).start().waitFor()
    }
}

/** A request as a caller sends it. */
data class TestRequest(
    val method: String,
    val target: String,
    val body: String = "",
    val key: String? = null,
    val headers: Map<String, String> = emptyMap(),
)

/** A response as a caller sees it. */
data class TestResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: String,
)

/** Runs daemons and stand-ins as separate processes on loopback addresses, and kills all of them when it is closed. */
class Fleet : AutoCloseable {
    private val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(eventLoops)
    private val processes = mutableListOf<FleetProcess>()
    private val shutdownHook = Thread { processes.forEach { it.process.destroyForcibly() } }

    init {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    val platform: FleetProcess = standIn("platform", "platform")

    fun engine(name: String, vararg flags: String): FleetProcess = standIn(name, "engine", *flags)

    fun service(name: String, vararg flags: String): FleetProcess = standIn(name, "service", *flags)

    fun daemon(host: String, dataCentre: String = "centre-a", vararg flags: String): FleetProcess {
        val addresses = List(3) { freeAddress() }
        return start(
            host,
            addresses,
            "serve",
            "--host=$host",
            "--data-centre=$dataCentre",
            "--region=region-a",
            "--caller-address=${addresses[0]}",
            "--operator-address=${addresses[1]}",
            "--peer-address=${addresses[2]}",
            "--platform-address=${platform.address}",
            "--peer-secret=peer-secret",
            "--operator-secret=$OPERATOR_SECRET",
            "--upstream-secret=upstream-secret",
            *flags,
        )
    }

    /** Starts a daemon on the users' platform. Its addresses are for callers, readiness checks, peers and metrics. */
    fun edgeDaemon(
        host: String,
        dataCentre: String = "centre-a",
        seeds: List<FleetProcess> = emptyList(),
        jvmFlags: List<String> = JVM_FLAGS,
    ): FleetProcess {
        val addresses = List(4) { freeAddress() }
        return launch(
            host,
            addresses,
            jvmFlags,
            "edge",
            "--host=$host",
            "--data-centre=$dataCentre",
            "--caller-address=${addresses[0]}",
            "--readiness-address=${addresses[1]}",
            "--peer-address=${addresses[2]}",
            "--store-address=${platform.address}",
            "--metrics-port=${addresses[3].port}",
            "--seeds=${seeds.joinToString(",") { it.peerAddress.toString() }}",
        )
    }

    /** Sets the faults of the platform stand-in to those in [query], such as `outage=true`, and clears all others. */
    suspend fun platformFaults(query: String) {
        send(platform.address, TestRequest("POST", "/faults?$query"))
    }

    /** Applies [template] through [daemon] and waits until all [awaited] daemons have its revision and are healthy. */
    suspend fun applyTemplate(daemon: FleetProcess, template: Template, awaited: List<FleetProcess> = listOf(daemon)) {
        val target = "/v1/templates/${template.name}"
        val response =
            send(daemon.operatorAddress, TestRequest("PUT", target, encodeTemplate(template), OPERATOR_SECRET))
        check(response.status == 200) { "the template was refused: ${response.body}" }
        val revision = Regex("\"revision\":(\\d+)").find(response.body)!!.groupValues[1]
        awaited.forEach { awaitedDaemon ->
            eventually(10.seconds) {
                val status =
                    send(awaitedDaemon.operatorAddress, TestRequest("GET", "/v1/status", key = OPERATOR_SECRET))
                Regex("\"revision\":$revision\\b") in status.body
            }
            eventually(30.seconds) { send(awaitedDaemon.address, TestRequest("GET", "/v1/health")).status == 200 }
        }
    }

    /** Sends [request] to [address]; the response has status 0 if the connection is refused or lost. */
    suspend fun send(address: Address, request: TestRequest): TestResponse =
        client.exchange(request.toOutgoing(address)) { reply ->
            val text = reply.body.readAll(MAX_BODY_BYTES).getOrElse { ByteArray(0) }.decodeToString()
            TestResponse(reply.status, reply.headers.associate { it.key.lowercase() to it.value }, text)
        }.fold({ TestResponse(0, emptyMap(), it.reason) }, { it })

    /** Sends [request] to [address], closes the connection when the headers arrive and returns the request id. */
    suspend fun sendAndHangUp(address: Address, request: TestRequest): String =
        client.exchange(request.toOutgoing(address)) { reply -> reply.headers.get("x-request-id") }
            .fold({ error(it.reason) }, { checkNotNull(it) { "the request was refused" } })

    private fun TestRequest.toOutgoing(address: Address): OutgoingRequest {
        val outgoingHeaders = newHeaders().set("Content-Type", "application/json")
        key?.let { outgoingHeaders.set("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> outgoingHeaders.set(name, value) }
        return OutgoingRequest(address, RequestLine(method, target), outgoingHeaders, body.encodeToByteArray())
    }

    /** Waits until [daemons] own all shards, and each of them more than half of an equal share. */
    suspend fun awaitShards(daemons: List<FleetProcess>) {
        eventually(30.seconds) {
            val ownedShards = daemons.map { metric(it, "figdeck_shards_owned") }
            ownedShards.sum() == SHARD_COUNT.toDouble() && ownedShards.all { it > SHARD_COUNT / daemons.size / 2 }
        }
    }

    /** Returns the value of the unlabelled metric [name] at [daemon], or 0 if it is absent. */
    suspend fun metric(daemon: FleetProcess, name: String): Double {
        val text = send(daemon.operatorAddress, TestRequest("GET", "/metrics", key = OPERATOR_SECRET)).body
        return Regex("^$name (\\S+)$", RegexOption.MULTILINE).find(text)?.groupValues?.get(1)?.toDouble() ?: 0.0
    }

    override fun close() {
        processes.forEach { it.process.destroyForcibly() }
        processes.forEach { it.process.waitFor() }
        client.close()
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun standIn(name: String, kind: String, vararg flags: String): FleetProcess {
        val address = freeAddress()
        return start(name, listOf(address), "stand-in", kind, "--address=$address", *flags)
    }

    private fun start(name: String, addresses: List<Address>, vararg arguments: String): FleetProcess =
        launch(name, addresses, JVM_FLAGS, *arguments)

    private fun launch(
        name: String,
        addresses: List<Address>,
        jvmFlags: List<String>,
        vararg arguments: String,
    ): FleetProcess {
        val log = File(File("target/process").apply { mkdirs() }, "$name-${addresses[0].port}.log")
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process = ProcessBuilder(
            java,
            *jvmFlags.toTypedArray(),
            "-cp",
            classPath,
            "figdeck.MainKt",
            *arguments
        )
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
        val started = FleetProcess(name, process, addresses, log)
        processes += started
        addresses.forEach { awaitListener(it, process) }
        return started
    }
}

/** Polls [condition] until it holds; fails after [timeout] with what [describe] returns then. */
suspend fun eventually(timeout: Duration, describe: suspend () -> String = { "" }, condition: suspend () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!condition()) {
        check(start.elapsedNow() < timeout) { "the condition did not hold within $timeout\n${describe()}" }
        delay(20.milliseconds)
    }
}

private fun awaitListener(address: Address, process: Process) {
    repeat(1_000) {
        check(process.isAlive) { "the process for $address exited with status ${process.exitValue()}" }
        val connection = runCatching { Socket().use { it.connect(InetSocketAddress(address.ip, address.port), 100) } }
        if (connection.isSuccess) {
            return
        }
        Thread.sleep(20)
    }
    error("no process listens at $address")
}
