package figdeck.command.ownership

import figdeck.model.HostId
import figdeck.model.SHARD_COUNT
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 15
private val noFaults = ModelFaults(0.0, 0.0, 0.0, 0.0)

class OwnershipSpec : DescribeSpec({
    describe("preferences") {
        val hosts = List(12) { HostId("host-$it") }.toSet()
        val before = preferencesOf(hosts)

        it("spread the shards evenly over the hosts") {
            hosts.forEach { before.shardsOf(it).size shouldBeInRange 60..115 }
        }
        it("move only the shards of a host that leaves") {
            val gone = HostId("host-3")
            val after = preferencesOf(hosts - gone)
            hosts.minus(gone).sumOf { host -> (before.shardsOf(host) - after.shardsOf(host).toSet()).size } shouldBe 0
        }
    }

    describe("four hosts over late, lost and reordered calls, pauses and restarts") {
        repeat(SEEDS) { seed ->
            it("never own the same shard at once, and own every shard again after the faults, seed $seed") {
                val fleet = ModelFleet(Random(seed), 4)
                fleet.runUntil(180_000)
                fleet.doubleOwnerships.shouldBeEmpty()
                fleet.faults = noFaults
                fleet.runUntil(220_000)
                fleet.ownedShards() shouldBe SHARD_COUNT
                fleet.doubleOwnerships.shouldBeEmpty()
            }
        }
    }

    describe("four hosts and an outage of the table longer than the lease") {
        repeat(SEEDS) { seed ->
            it("never own the same shard at once, with other faults on top, seed $seed") {
                val outage = ModelFaults(pauseChance = 0.03, outages = listOf(40_000L..70_000L, 85_000L..140_000L))
                val fleet = ModelFleet(Random(seed), 4, faults = outage)
                fleet.runUntil(180_000)
                fleet.doubleOwnerships.shouldBeEmpty()
            }
        }
        it("keep every shard during the outage while their guardians make promises") {
            val fleet = ModelFleet(Random(1), 4, faults = noFaults.copy(outages = listOf(30_000L..630_000L)))
            fleet.runUntil(29_000)
            fleet.ownedShards() shouldBe SHARD_COUNT
            fleet.runUntil(600_000)
            fleet.ownedShards() shouldBe SHARD_COUNT
            fleet.runUntil(640_000)
            fleet.ownedShards() shouldBe SHARD_COUNT
        }
    }
})
