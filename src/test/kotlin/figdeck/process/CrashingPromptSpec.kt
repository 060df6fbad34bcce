package figdeck.process

import figdeck.standin.ReceivedRequest
import figdeck.standin.RunnerStandIn
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val HOST = "desk.example"
private const val KEY = "key-of-walkers"
private const val DEADLY_PART = "dead"
private const val ENGINES = 4
private val RESTART_TIME = 700.milliseconds
private val TEST_TIME = 10.seconds

/** How long after the fifth crash the fleet may take to keep the part from engines. */
private val REACTION_TIME = 3.seconds
private const val PLAN = """{"Version":1,"Routes":[
  {"Name":"chat","Host":"$HOST","Prefix":"/chat/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1000,
   "Service":"pool","MaxAttempts":2,"Resumable":true}],
 "Tenants":[{"Name":"walkers","ApiKeys":["$KEY"],"RatePerS":500,"Burst":500}]}"""

/** Engines that crash on [DEADLY_PART] and start again after [RESTART_TIME] under another id. */
private class CrashingEngines(
    private val fleet: Fleet,
    private val eventLoops: EventLoopGroup,
) : AutoCloseable {
    private val running = CopyOnWriteArrayList<RunnerStandIn>()
    private val starts = AtomicInteger()
    private val crashed = ConcurrentHashMap.newKeySet<String>()

    /** When each request with the part reached an engine. */
    val deadlyArrivals = CopyOnWriteArrayList<ComparableTimeMark>()

    /** The fifth crash, or the last one if there are fewer. */
    val decisiveCrash: ComparableTimeMark get() = deadlyArrivals.getOrNull(4) ?: deadlyArrivals.last()

    suspend fun start(replaced: String? = null) {
        val id = "engine-${starts.incrementAndGet()}"
        val engine = RunnerStandIn(eventLoops, id, isFatal = { it.isDeadly && onCrash(id) })
        running += engine
        fleet.writeRows(listOf(storeRow("servers", id, engine.encodeEntry("pool"))), listOfNotNull(replaced))
    }

    private fun onCrash(id: String): Boolean {
        deadlyArrivals += TimeSource.Monotonic.markNow()
        if (crashed.add(id)) {
            thread(isDaemon = true) {
                Thread.sleep(RESTART_TIME.inWholeMilliseconds)
                runBlocking { start(replaced = id) }
            }
        }
        return true
    }

    override fun close() = running.forEach { it.close() }
}

private val ReceivedRequest.isDeadly: Boolean get() = "$DEADLY_PART:" in headers["x-prompt-prefix"].orEmpty()

private data class SentRequest(
    val at: ComparableTimeMark,
    val response: Deferred<TestResponse>,
)

/** Sends a request every [interval] for [TEST_TIME], to all [daemons] in turn. No two have the same last part. */
private suspend fun CoroutineScope.sendEvery(
    interval: Duration,
    fleet: Fleet,
    daemons: List<FleetProcess>,
    name: String,
    sharedParts: (Int) -> String,
): List<SentRequest> = List((TEST_TIME / interval).toInt()) { i ->
    val prompt = "${sharedParts(i)},$name$i:5"
    val headers = mapOf(
        "Host" to HOST,
        "X-Attempt-Id" to "$name-$i",
        "X-Deadline-Ms" to "4000",
        "X-Prompt-Prefix" to prompt,
    )
    val request = TestRequest("POST", "/chat/1", key = KEY, headers = headers)
    delay(interval)
    SentRequest(TimeSource.Monotonic.markNow(), async { fleet.send(daemons[i % daemons.size].address, request) })
}

class CrashingPromptSpec : DescribeSpec({
    describe("a part of a prompt that crashes each engine that answers it") {
        val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
        val fleet = Fleet()
        val engines = CrashingEngines(fleet, eventLoops)
        fleet.writeRows(listOf(storeRow("op", "config", PLAN)))
        repeat(ENGINES) { engines.start() }
        val daemons = listOf("a", "b").map { fleet.edgeDaemon("host-$it") }
        fleet.awaitReady(daemons)
        val sound = coroutineScope {
            launch { sendEvery(150.milliseconds, fleet, daemons, "deadly") { "intro${it % 3}:10,$DEADLY_PART:10" } }
            sendEvery(30.milliseconds, fleet, daemons, "sound") { "intro${it % 3}:10,topic${it % 40}:10" }
        }
        afterSpec {
            fleet.close()
            engines.close()
            eventLoops.shutdownGracefully()
        }

        it("reaches at most three engines later than 3 s after the fifth crash") {
            engines.deadlyArrivals.shouldNotBeEmpty()
            val reactedAt = engines.decisiveCrash + REACTION_TIME
            engines.deadlyArrivals.count { it > reactedAt } shouldBeLessThanOrEqual 3
        }

        it("does not keep prompts with the same other parts from being answered") {
            val reactedAt = engines.decisiveCrash + REACTION_TIME * 2
            val later = sound.filter { it.at > reactedAt }
            val statuses = later.map { it.response }.awaitAll().map { it.status }
            statuses.count { it == 200 }.toDouble() / statuses.size shouldBeGreaterThan 0.9
        }
    }
})
