package figdeck.command.limit

import figdeck.command.ownership.OwnedShard
import figdeck.model.Epoch
import figdeck.model.Limit
import figdeck.model.Moment
import figdeck.model.TeamId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds

private const val SEEDS = 200
private const val END_MICROS = 4_000_000L
private val team = TeamId("stado")
private val limits = listOf(Limit(10.0, 1), Limit(20.0, 2), Limit(5.0, 10), Limit(100.0, 20), Limit(1_000.0, 30))

private fun at(micros: Long) = Moment(micros * 1_000, micros / 1_000)

/** Spends granted tokens at a random time or the last allowed one, while owners change and responses are delayed. */
private class TokenConsumer(
    private val random: Random,
    private val limit: Limit,
    private val ownerChanges: Boolean = true,
    private val isLate: () -> Boolean = { false },
) {
    private var unspent = 0
    private var buckets = TeamBuckets(persistentMapOf())
    private var owned = OwnedShard(Epoch(1), 1, at(0))
    val spends = mutableListOf<Long>()

    fun run(pauseMicros: Long): List<Long> {
        var now = 0L
        while (now < END_MICROS) {
            now += random.nextLong(1, pauseMicros)
            if (ownerChanges && random.nextInt(100) == 0) {
                owned = OwnedShard(owned.epoch.next(), 1, at(now))
            }
            draw(now)
        }
        return spends.sorted()
    }

    private fun draw(sent: Long) {
        val decided = sent + random.nextLong(5_000)
        val step =
            grant(buckets, TokenDraw(team, random.nextInt(1, 9), random.nextInt(5), unspent), limit, owned, at(decided))
        buckets = step.state
        unspent = if (isLate()) step.result.granted else 0
        if (unspent > 0) return
        val last = sent + step.result.lifetime.inWholeMicroseconds - 1
        repeat(step.result.granted) {
            val spent = if (random.nextBoolean()) last else decided + random.nextLong(10_000)
            if (spent <= last) spends += spent
        }
    }
}

/** Finds time windows between two spends that contain more than rate x time + burst tokens. */
private fun findExcesses(spends: List<Long>, limit: Limit): List<String> {
    var lowestExcess = Double.MAX_VALUE
    return spends.mapIndexedNotNull { index, spent ->
        val excessOverRate = index - spent / 1e6 * limit.ratePerSecond
        lowestExcess = minOf(lowestExcess, excessOverRate)
        "at $spent us".takeIf { excessOverRate - lowestExcess + 1 > limit.burst + 1e-6 }
    }
}

class TokenGrantSpec : DescribeSpec({
    describe("tokens granted by an owner and spent on another host") {
        limits.forEach { limit ->
            it("never exceed ${limit.ratePerSecond}/s and burst ${limit.burst} in any window, $SEEDS seeds") {
                val faults = (0 until SEEDS).flatMap { seed ->
                    val random = Random(seed)
                    val spends = TokenConsumer(random, limit).run(if (seed % 2 == 0) 20_000 else 400_000)
                    findExcesses(spends, limit).map { "seed $seed $it" }
                }
                faults.shouldBeEmpty()
            }
        }
        limits.forEach { limit ->
            it("never exceed ${limit.ratePerSecond}/s and burst ${limit.burst} with half of the responses late") {
                val faults = (0 until SEEDS).flatMap { seed ->
                    val random = Random(seed)
                    val spends = TokenConsumer(random, limit) { random.nextBoolean() }.run(20_000)
                    findExcesses(spends, limit).map { "seed $seed $it" }
                }
                faults.shouldBeEmpty()
            }
        }
        // Guards against tokens that return to a bucket that has refilled without them.
        it("never exceed 40.0/s and burst 20 if late tokens return after the bucket was full again") {
            val limit = Limit(40.0, 20)
            val owned = OwnedShard(Epoch(1), 1, at(0))
            val empty = TeamBuckets(persistentMapOf())
            val late = grant(empty, TokenDraw(team, 16, 0), limit, owned, at(1_000_000))
            val spent = grant(late.state, TokenDraw(team, 16, 0), limit, owned, at(3_000_000))
            val returned = TokenDraw(team, 16, 0, unspent = late.result.granted)
            val more = grant(spent.state, returned, limit, owned, at(3_000_000))
            spent.result.granted + more.result.granted shouldBeLessThanOrEqual limit.burst
        }
        it("reach half of the rate with half of the responses late") {
            val random = Random(7)
            val limit = Limit(100.0, 20)
            val spends = TokenConsumer(random, limit, ownerChanges = false) { random.nextBoolean() }.run(2_000)
            spends.size / (END_MICROS / 1e6) shouldBeGreaterThan 0.5 * limit.ratePerSecond
        }
        it("admit every request of a team at its rate of 100/s with burst 20") {
            val limit = Limit(100.0, 20)
            var buckets = TeamBuckets(persistentMapOf())
            val granted = (0 until 1_000).count { index ->
                val now = at(1_000_000L + index * 10_000L)
                val step = grant(buckets, TokenDraw(team, 1, 0), limit, OwnedShard(Epoch(1), 1, at(0)), now)
                buckets = step.state
                step.result.granted == 1
            }
            granted shouldBe 1_000
        }
        it("reach half of the rate under saturation") {
            limits.filter { it.burst > 1 }.forEach { limit ->
                val perSecond =
                    TokenConsumer(Random(7), limit, ownerChanges = false).run(2_000).size / (END_MICROS / 1e6)
                perSecond shouldBeGreaterThan 0.5 * limit.ratePerSecond
            }
        }
    }

    describe("the parameters of a bucket for grants") {
        it("reserve a fifth of the burst for granted tokens in flight, with 20 tokens at 40/s") {
            Limit(40.0, 20).grantParameters() shouldBe BucketParameters(25_000_000, 400_000_000, 100_000.microseconds)
        }
        it("space single tokens by the emission interval plus the grant lifetime") {
            Limit(10.0, 1).grantParameters() shouldBe BucketParameters(125_000_000, 125_000_000, 25_000.microseconds)
        }
    }

    describe("held grants") {
        val held = addGrantedTokens(HeldGrants(persistentMapOf()), team, 1, at(1_000), at(0))

        it("are spent once") {
            val first = spendHeldToken(held, team, at(999))
            first.result shouldBe true
            spendHeldToken(first.state, team, at(999)).result shouldBe false
        }
        it("can't be spent after they expire") {
            spendHeldToken(held, team, at(1_000)).result shouldBe false
        }
    }
})
