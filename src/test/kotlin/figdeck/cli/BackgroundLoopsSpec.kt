package figdeck.cli

import figdeck.daemon.command.LoopSupervision
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.process.eventually
import figdeck.process.freeAddress
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private val edgeLoops = listOf(
    "table op", "table servers", "table job", "table promptrisk",
    "bootstrap", "membership", "pools", "cold upstreams", "limited upstreams",
    "slots", "granted slots", "held slots", "jobs", "prompt reports", "finished jobs",
)
private val ownLoops = listOf(
    "lease", "promises", "shards",
    "configuration", "peers' configuration", "leaving hosts", "journals", "batches", "slots",
)

private fun startEdge(supervision: LoopSupervision): AutoCloseable {
    val settings = EdgeSettings(
        host = HostId("edge-1"),
        dataCentre = DataCentre("north"),
        callerAddress = freeAddress(),
        readinessAddress = freeAddress(),
        peerAddress = freeAddress(),
        storeAddress = freeAddress(),
        metricsPort = freeAddress().port,
        terminationGrace = 8.seconds,
        fleetName = "test",
        seeds = emptyList(),
        cores = 1.0,
        resultRetention = 120.seconds,
    )
    return EdgeDaemon(settings, newEventLoops(), supervision = supervision).also { it.start() }
}

private fun startOwn(supervision: LoopSupervision): AutoCloseable {
    val settings = Settings(
        host = HostId("host-1"),
        dataCentre = DataCentre("north"),
        region = Region("cz"),
        callerAddress = freeAddress(),
        peerAddress = freeAddress(),
        operatorAddress = freeAddress(),
        platformAddress = freeAddress(),
        credentials = Credentials("peer", "operator", "upstream"),
        traceEndpoint = null,
    )
    return Daemon(settings, newEventLoops(), supervision = supervision).also { it.start() }
}

/** Runs in a process of its own. */
internal object EndingProcess {
    @JvmStatic
    fun main(arguments: Array<String>) = endProcess(arguments.single(), OutOfMemoryError("Java heap space"))
}

class BackgroundLoopsSpec : DescribeSpec({
    listOf<Triple<String, List<String>, (LoopSupervision) -> AutoCloseable>>(
        Triple("a daemon on the users' platform", edgeLoops, ::startEdge),
        Triple("a daemon with the own interface", ownLoops, ::startOwn),
    ).forEach { (daemon, loops, start) ->
        describe(daemon) {
            it("runs just these loops") {
                val started = CopyOnWriteArrayList<String>()
                start(LoopSupervision({ _, _ -> }) { name, _ -> started += name }).use {
                    eventually(10.seconds) { started.size >= loops.size }
                }
                started shouldContainExactlyInAnyOrder loops
            }

            loops.forEach { loop ->
                it("ends when its loop '$loop' fails with an error") {
                    val reported = CopyOnWriteArrayList<Pair<String, Throwable>>()
                    val error = OutOfMemoryError("Java heap space")
                    val supervision = LoopSupervision({ name, cause -> reported += name to cause }) { name, _ ->
                        if (name == loop) throw error
                    }
                    start(supervision).use { eventually(10.seconds) { reported.isNotEmpty() } }
                    reported.single() shouldBe (loop to error)
                }
            }
        }
    }

    describe("a process that ends because of an error") {
        it("writes the reason and exits with 70") {
            val java = ProcessHandle.current().info().command().orElse("java")
            val classPath = System.getProperty("java.class.path")
            val process = ProcessBuilder(java, "-cp", classPath, EndingProcess::class.java.name, "jobs")
                .redirectErrorStream(true)
                .start()
            val output = process.inputStream.bufferedReader().readText()
            process.waitFor(30, TimeUnit.SECONDS) shouldBe true
            process.exitValue() shouldBe 70
            output shouldContain "ending with code 70, because 'jobs' failed: java.lang.OutOfMemoryError"
        }
    }
})
