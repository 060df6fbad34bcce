package figdeck.control.serving

import arrow.core.getOrElse
import figdeck.model.serving.PoolName
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.servingPlan
import figdeck.query.serving.BucketLocation
import figdeck.query.serving.bucketLocation
import figdeck.query.serving.slotKey
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

private const val SEEDS = 20
private const val UNLIMITED_SEEDS = 2
private const val HOSTS = 5
private const val RATE = 23.0

/** `ColdPerS` x `ColdOver` + `ColdSlack`. */
private const val BOUND = RATE * 1.5 + 5
private const val REQUESTS_PER_SECOND = 300

/** When all leases are settled. */
private const val SETTLED = 5_000L
private val shortCold = SETTLED..SETTLED + 3_000
private val longCold = SETTLED..SETTLED + 15_000

private fun plan(rate: Double): ServingPlan = servingPlan {
    pool("p") {
        coldSeconds = 3.0
        coldRequestsPerSecond = rate
    }
}.getOrElse { error(it) }

/**
 * A run of a fleet whose two upstreams are cold at the same time.
 *
 * @property faults what happens to the fleet once it has settled, up to its last fault.
 */
private data class Scenario(
    val cold: LongRange = longCold,
    val hosts: Int = HOSTS,
    val rate: Double = RATE,
    val answersTell: Boolean = false,
    val faults: ColdFleet.(Random) -> Unit = {},
) {
    /** The times of the sends to each upstream while it was cold. */
    fun run(seed: Int): List<List<Long>> {
        val random = Random(seed)
        val upstreams = listOf("i-1", "i-2").map { SimulatedUpstream(it, cold, answersTell) }
        val fleet = ColdFleet(hosts, plan(rate), upstreams, REQUESTS_PER_SECOND, random)
        fleet.runUntil(SETTLED - random.nextLong(0, 1_000) / STEP_MILLIS * STEP_MILLIS)
        fleet.faults(random)
        fleet.runUntil(cold.last + 500)
        return fleet.sends.values.map { times -> times.filter { it in cold } }
    }

    /** The most sends to one upstream in one second over [seeds] seeds. */
    fun most(seeds: Int): Int = (0 until seeds).maxOf { seed -> run(seed).maxOf { mostInOneSecond(it) } }
}

private fun ColdFleet.pause(random: Random, maxMillis: Long) = runUntil(now + random.nextLong(maxMillis))

/** The granting host is lost at some time, and the next one some time later. */
private val losses = Scenario {
    pause(it, 3_000)
    grantingHost().isAlive = false
    pause(it, 6_000)
    grantingHost().isAlive = false
}

/** The hosts fall into two groups that reach the store and not each other, and later into single hosts. */
private val partition = Scenario {
    pause(it, 2_000)
    links = Links(peers = { from, to -> from % 2 == to % 2 })
    pause(it, 6_000)
    links = Links(peers = { _, _ -> false })
    pause(it, 4_000)
    links = Links()
}

/** No host reaches the store soon after all have read that the upstreams are cold, and later all do again. */
private val outage = Scenario {
    runUntil(SETTLED + 100 + it.nextLong(2_000))
    links = Links(store = { false })
    pause(it, 8_000)
    links = Links()
}

/** No host reaches the store when the upstreams become cold, so that the hosts learn it by answers. */
private val earlyOutage = Scenario(answersTell = true) {
    links = Links(store = { false })
}

/** Two hosts reach neither the store nor the others, and learn only by answers that the upstreams are cold. */
private val cutOff = Scenario(answersTell = true) {
    links = Links(store = { host -> host > 1 }, peers = { from, to -> from > 1 && to > 1 })
}

/** All hosts start again at about the same time, while the upstreams are cold. */
private val restart = Scenario {
    runUntil(SETTLED + it.nextLong(2_000))
    hosts.forEach { host -> host.isAlive = false }
    hosts.forEach { host ->
        pause(it, 100)
        host.restart(now)
    }
}

class ColdFleetSpec : DescribeSpec({
    // Each case guards against a crash of a cold upstream: several hosts grant its slots, and each counts only its own.
    describe("in any second, a cold upstream gets at most $BOUND sends of all hosts, over $SEEDS seeds") {
        val scenarios = mapOf(
            "while nothing fails" to Scenario(shortCold),
            "when it becomes cold again under load" to Scenario(),
            "when the granting hosts are lost" to losses,
            "when hosts don't reach each other" to partition,
            "when hosts don't reach the store" to outage,
            "when hosts don't reach the store from before its cold time on" to earlyOutage,
            "when hosts reach neither the store nor each other" to cutOff,
            "when all hosts restart" to restart,
            "in a fleet of 60 hosts whose granting hosts are lost" to losses.copy(cold = shortCold, hosts = 60),
            "in a fleet of 60 hosts that restart" to restart.copy(cold = shortCold, hosts = 60),
            "in a fleet of 60 hosts that don't reach each other" to partition.copy(cold = shortCold, hosts = 60),
        )
        scenarios.forEach { (name, scenario) ->
            it(name) {
                val most = scenario.most(SEEDS)
                println("most sends in a second, $name: $most")
                most.toDouble() shouldBeLessThanOrEqual BOUND
            }
        }

        // Guards against cases above that would also pass without a limit.
        it("and more than that in all of them if the pool configures no limit") {
            scenarios.filterValues { it.copy(rate = 0.0).most(UNLIMITED_SEEDS) <= BOUND }.keys.shouldBeEmpty()
        }
    }

    // Guards against two hosts with the main part, when those that the store turns away keep buckets for themselves.
    describe("the main part of the rate") {
        val pool = PoolName("p")
        val fleet = ColdFleet(HOSTS, plan(RATE), emptyList(), 0, Random(1))
        fleet.runUntil(SETTLED)
        val owners = fleet.hosts.filter { it.state.fleet.hasMainShare(pool, at(fleet.now)) }

        it("belongs to one host, and to none that is cut off from the store") {
            owners.size shouldBe 1
            fleet.links = Links(store = { host -> fleet.hosts[host] !in owners })
            fleet.runUntil(SETTLED + 10_000)
            val now = at(fleet.now)
            owners.single().state.fleet.bucketLocation(slotKey(pool), now) shouldBe BucketLocation.Local
            val next = fleet.hosts.filter { it.state.fleet.hasMainShare(pool, now) }
            next.size shouldBe 1
            next shouldNotBe owners
        }
    }

    // Guards against a limit that leaves a cold upstream nearly without work.
    describe("without a failure") {
        it("a cold upstream gets at least 0.7 of the rate that it tolerates") {
            Scenario().run(1).forEach { times ->
                times.size / ((longCold.last - longCold.first) / 1_000.0) shouldBeGreaterThan RATE * 0.7
            }
        }

        // Guards against one upstream that takes the load of all when they return together.
        it("upstreams that return together warm up evenly") {
            (0 until SEEDS).forEach { seed ->
                val counts = Scenario(shortCold).run(seed).map { it.size }
                counts.max() - counts.min() shouldBeInRange 0..6
            }
        }
    }
})
