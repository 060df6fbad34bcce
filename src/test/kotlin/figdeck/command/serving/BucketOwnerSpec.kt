package figdeck.command.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.storeMillisAt
import figdeck.query.serving.BucketLocation
import figdeck.query.serving.bucketLocation
import figdeck.query.serving.isCutOff
import figdeck.query.serving.joinedAt
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.random.Random

private const val SEEDS = 300
private const val HOSTS = 4
private const val STEP_MILLIS = 20L
private const val END_MILLIS = 30_000L
private const val KEY = "limits/stado"

private fun at(millis: Long) = Moment(millis * 1_000_000, millis)

private fun self(name: String, incarnation: Int) =
    FleetMember(HostId(name), Address("127.0.0.1", 1), DataCentre("centre-a"), "$name-$incarnation", 0, 0)

/** The probabilities of faults per announcement, in thousandths. */
private data class FaultRates(
    val lostReads: Int,
    val lostRenewals: Int,
    val pauses: Int,
    val restarts: Int,
)

/** Simulates the membership announcements of a daemon, which reads all rows and then writes its own. */
private class SimulatedMember(
    private val name: String,
    private val random: Random,
) {
    private var restartCount = 0
    private var nextAt = random.nextLong(1_000)
    var resumesAt = 0L
    var fleet: Fleet = singleMemberFleet(self(name, restartCount))

    fun step(now: Long, rows: MutableMap<HostId, FleetMember>, faultRates: FaultRates) {
        if (now >= nextAt && now >= resumesAt) {
            when {
                chance(faultRates.restarts) -> fleet = singleMemberFleet(self(name, ++restartCount))
                chance(faultRates.pauses) -> resumesAt = now + random.nextLong(6_000)
                else -> announce(now, rows, faultRates)
            }
            nextAt = now + random.nextLong(900, 1_100)
        }
    }

    private fun announce(now: Long, rows: MutableMap<HostId, FleetMember>, faultRates: FaultRates) {
        if (chance(faultRates.lostReads)) return
        fleet = applyScan(fleet, FleetScan(rows.values.toList(), now, at(now)))
        val storeMillis = fleet.scan!!.storeMillisAt(at(now))
        val row = fleet.self.copy(joinedAtMillis = fleet.joinedAt(storeMillis, at(now)), renewedAtMillis = storeMillis)
        val isConfirmed = !chance(faultRates.lostRenewals)
        // After a lost reply the row may have been written, but the host does not rely on it.
        if (isConfirmed || random.nextBoolean()) rows[row.host] = row
        if (isConfirmed) fleet = confirmRenewal(fleet, row, at(now))
    }

    fun fillsBucket(now: Long): Boolean {
        val moment = at(now)
        val isLocal = fleet.bucketLocation(KEY, moment) == BucketLocation.Local
        return now >= resumesAt && isLocal && !fleet.isCutOff(moment)
    }

    private fun chance(thousandths: Int) = random.nextInt(1_000) < thousandths
}

/**
 * The result of a simulation.
 *
 * @property longestOverlapMillis the longest time during which several hosts refilled the bucket at once.
 * @property ownedSteps the number of steps in which at least one host refilled the bucket.
 */
private data class SimulationResult(
    val longestOverlapMillis: Long,
    val ownedSteps: Int,
)

private fun simulate(seed: Int, faultRates: FaultRates): SimulationResult {
    val random = Random(seed)
    val rows = mutableMapOf<HostId, FleetMember>()
    val members = List(HOSTS) { SimulatedMember("host-$it", random) }
    var overlapMillis = 0L
    var result = SimulationResult(0, 0)
    for (now in 0L until END_MILLIS step STEP_MILLIS) {
        members.forEach { it.step(now, rows, faultRates) }
        val owners = members.count { it.fillsBucket(now) }
        overlapMillis = if (owners > 1) overlapMillis + STEP_MILLIS else 0
        result = SimulationResult(
            maxOf(result.longestOverlapMillis, overlapMillis),
            result.ownedSteps + if (owners > 0) 1 else 0,
        )
    }
    return result
}

class BucketOwnerSpec : DescribeSpec({
    describe("four hosts that announce themselves every second, $SEEDS seeds") {
        it("never refill a bucket on two hosts despite lost reads, lost renewals, pauses and restarts") {
            val faultRates = FaultRates(lostReads = 150, lostRenewals = 150, pauses = 50, restarts = 30)
            (0 until SEEDS).filter { simulate(it, faultRates).longestOverlapMillis > 0 }.shouldBeEmpty()
        }
        it("refill it at least 90% of the time without faults") {
            val withoutFaults = simulate(1, FaultRates(0, 0, 0, 0))
            withoutFaults.ownedSteps shouldBeGreaterThan ((END_MILLIS / STEP_MILLIS) * 9 / 10).toInt()
        }
    }
})
