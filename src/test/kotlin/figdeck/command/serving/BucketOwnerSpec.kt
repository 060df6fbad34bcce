package figdeck.command.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import figdeck.model.serving.storeMillisAt
import figdeck.query.serving.BucketPlace
import figdeck.query.serving.bucketPlace
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

private fun self(name: String, life: Int) =
    FleetMember(HostId(name), Address("127.0.0.1", 1), DataCentre("centre-a"), "$name-$life", 0, 0)

/** How often things go wrong, in parts of a thousand for each announcement. */
private data class Trouble(
    val lostReads: Int,
    val lostRenewals: Int,
    val pauses: Int,
    val restarts: Int,
)

/** A host that announces itself as a daemon does: reads all rows, then writes its own. */
private class ModelMember(
    private val name: String,
    private val random: Random,
) {
    private var lives = 0
    private var nextAt = random.nextLong(1_000)
    var awakeAt = 0L
    var fleet: Fleet = loneFleet(self(name, lives))

    fun step(now: Long, rows: MutableMap<HostId, FleetMember>, trouble: Trouble) {
        if (now >= nextAt && now >= awakeAt) {
            when {
                chance(trouble.restarts) -> fleet = loneFleet(self(name, ++lives))
                chance(trouble.pauses) -> awakeAt = now + random.nextLong(6_000)
                else -> announce(now, rows, trouble)
            }
            nextAt = now + random.nextLong(900, 1_100)
        }
    }

    private fun announce(now: Long, rows: MutableMap<HostId, FleetMember>, trouble: Trouble) {
        if (chance(trouble.lostReads)) return
        fleet = observeScan(fleet, FleetScan(rows.values.toList(), now, at(now)))
        val storeMillis = fleet.scan!!.storeMillisAt(at(now))
        val row = fleet.self.copy(joinedAtMillis = fleet.joinedAt(storeMillis, at(now)), renewedAtMillis = storeMillis)
        val isDone = !chance(trouble.lostRenewals)
        // A lost reply: the row may stand, but the host doesn't count on it.
        if (isDone || random.nextBoolean()) rows[row.host] = row
        if (isDone) fleet = confirmRenewal(fleet, row, at(now))
    }

    fun fills(now: Long): Boolean {
        val moment = at(now)
        val isHere = fleet.bucketPlace(KEY, moment) == BucketPlace.Here
        return now >= awakeAt && isHere && !fleet.isCutOff(moment)
    }

    private fun chance(thousandths: Int) = random.nextInt(1_000) < thousandths
}

/** What a run showed: how long two hosts filled the bucket at a time, at most, and the steps with one that did. */
private data class Outcome(
    val longestOverlap: Long,
    val served: Int,
)

private fun play(seed: Int, trouble: Trouble): Outcome {
    val random = Random(seed)
    val rows = mutableMapOf<HostId, FleetMember>()
    val members = List(HOSTS) { ModelMember("host-$it", random) }
    var overlap = 0L
    var outcome = Outcome(0, 0)
    for (now in 0L until END_MILLIS step STEP_MILLIS) {
        members.forEach { it.step(now, rows, trouble) }
        val owners = members.count { it.fills(now) }
        overlap = if (owners > 1) overlap + STEP_MILLIS else 0
        outcome = Outcome(maxOf(outcome.longestOverlap, overlap), outcome.served + if (owners > 0) 1 else 0)
    }
    return outcome
}

class BucketOwnerSpec : DescribeSpec({
    describe("four hosts that announce themselves each second, $SEEDS seeds") {
        it("never fill a bucket twice while readings and renewals are lost, hosts pause and start again") {
            val trouble = Trouble(lostReads = 150, lostRenewals = 150, pauses = 50, restarts = 30)
            (0 until SEEDS).filter { play(it, trouble).longestOverlap > 0 }.shouldBeEmpty()
        }
        it("fill it nearly all of the time") {
            val calm = play(1, Trouble(0, 0, 0, 0))
            calm.served shouldBeGreaterThan ((END_MILLIS / STEP_MILLIS) * 9 / 10).toInt()
        }
    }
})
