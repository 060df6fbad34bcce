package figdeck.control.serving

import arrow.core.getOrElse
import figdeck.model.serving.servingPlan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.random.Random

private const val SEEDS = 5
private const val UNLIMITED_SEEDS = 2
private const val REQUESTS_PER_SECOND = 100
private const val WINDOW_MILLIS = 4_000L
private const val CONTACT_MILLIS = 3_000L

/** When all leases are settled. */
private const val SETTLED = 5_000L
private const val LIMITED_UNTIL = SETTLED + 20_000

/** What an upstream may get in [WINDOW_MILLIS] by [rate] requests per second. */
private fun bound(rate: Double): Double = rate * 1.5 * WINDOW_MILLIS / 1_000 + 5

private val plan = servingPlan { pool("p") {} }.getOrElse { error(it) }

/**
 * A run of a fleet with two upstreams that advertise a limit, and one that doesn't.
 *
 * @property faults what happens to the fleet once the limits are heard, up to its last fault.
 */
private data class LimitedScenario(
    val hosts: Int,
    val rate: Double,
    val isLimited: Boolean = true,
    val faults: ColdFleet.(Random) -> Unit = {},
) {
    /** The times of the sends to each limited upstream from when its limit binds. */
    fun run(seed: Int): List<List<Long>> {
        val random = Random(seed)
        val rates = { now: Long -> rate.takeIf { isLimited && now in SETTLED..LIMITED_UNTIL } }
        val limited = listOf("i-1", "i-2").map { SimulatedUpstream(it, LongRange.EMPTY, answersTell = false, rates) }
        val other = SimulatedUpstream("i-3", LongRange.EMPTY, answersTell = false)
        val fleet = ColdFleet(hosts, plan, limited + other, REQUESTS_PER_SECOND, random)
        fleet.runUntil(SETTLED + CONTACT_MILLIS + random.nextLong(1_000) / STEP_MILLIS * STEP_MILLIS)
        fleet.faults(random)
        fleet.runUntil(LIMITED_UNTIL)
        return limited.map { upstream ->
            fleet.sends.getValue(upstream.id).filter { it in SETTLED + CONTACT_MILLIS..LIMITED_UNTIL }
        }
    }

    fun most(seeds: Int): Int = (0 until seeds).maxOf { seed -> run(seed).maxOf { mostIn(WINDOW_MILLIS, it) } }
}

private fun ColdFleet.pause(random: Random, maxMillis: Long) = runUntil(now + random.nextLong(maxMillis))

private val faults = mapOf<String, ColdFleet.(Random) -> Unit>(
    "while nothing fails" to {},
    "when the granting hosts are lost" to {
        repeat(3) { _ ->
            pause(it, 4_000)
            grantingHost().isAlive = false
        }
    },
    "when hosts restart in turn" to {
        hosts.forEach { host ->
            pause(it, 300)
            host.isAlive = false
            pause(it, 100)
            host.restart(now)
        }
    },
    "when hosts don't reach each other" to {
        pause(it, 2_000)
        links = Links(peers = { from, to -> from % 2 == to % 2 })
        pause(it, 6_000)
        links = Links(peers = { _, _ -> false })
    },
    "when hosts don't reach the store" to {
        pause(it, 2_000)
        links = Links(store = { false })
        pause(it, 10_000)
        links = Links()
    },
    "when hosts reach neither the store nor each other" to {
        pause(it, 2_000)
        links = Links(store = { false }, peers = { _, _ -> false })
    },
    "when half of the hosts reach neither the store nor the others" to {
        pause(it, 2_000)
        links = Links(store = { host -> host % 2 == 0 }, peers = { from, to -> from % 2 == 0 && to % 2 == 0 })
    },
)

class LimitedFleetSpec : DescribeSpec({
    // Guards against hosts that each keep within a limit and together exceed it.
    listOf(13 to 3.0, 95 to 1.0).forEach { (hosts, rate) ->
        describe("$hosts hosts send an upstream that takes $rate requests per second at most ${bound(rate)} in 4 s") {
            faults.forEach { (name, fault) ->
                it(name) {
                    val most = LimitedScenario(hosts, rate, faults = fault).most(SEEDS)
                    println("most sends in 4 s of $hosts hosts at $rate/s, $name: $most")
                    most.toDouble() shouldBeLessThanOrEqual bound(rate)
                }
            }

            // Guards against cases above that would also pass without a limit.
            it("and more without its limit") {
                faults.filterValues { fault ->
                    LimitedScenario(hosts, rate, isLimited = false, faults = fault).most(UNLIMITED_SEEDS) <= bound(rate)
                }.keys.shouldBeEmpty()
            }
        }
    }

    // Guards against a limit that leaves its upstream nearly without work.
    describe("without a failure") {
        it("a limited upstream gets at least 0.8 of what it takes") {
            val seconds = (LIMITED_UNTIL - SETTLED - CONTACT_MILLIS) / 1_000.0
            LimitedScenario(13, 3.0).run(1).forEach { times -> times.size / seconds shouldBeGreaterThan 3.0 * 0.8 }
        }

        it("it gets all that it can once it names no limit any more") {
            val other = SimulatedUpstream("i-1", LongRange.EMPTY, answersTell = false, rate = { now ->
                3.0.takeIf { now in SETTLED..SETTLED + 5_000 }
            })
            val fleet = ColdFleet(13, plan, listOf(other), REQUESTS_PER_SECOND, Random(1))
            fleet.runUntil(SETTLED + 12_000)
            fleet.sends.getValue(other.id).count { it > SETTLED + 7_000 } shouldBeGreaterThan 300
        }
    }
})
