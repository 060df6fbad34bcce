package figdeck.query.serving

import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.loneFleet
import figdeck.command.serving.observeScan
import figdeck.command.serving.suspect
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.TeamId
import figdeck.model.serving.BucketLevel
import figdeck.model.serving.Fleet
import figdeck.model.serving.FleetMember
import figdeck.model.serving.FleetScan
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val SCANNED_AT = 100_000L
private val now = Moment(0, 0) + 60.seconds

private fun member(name: String, joinedAtMillis: Long = 0, renewedAtMillis: Long = SCANNED_AT) =
    FleetMember(HostId(name), Address("10.0.0.1", 80), DataCentre("a"), "i-$name", joinedAtMillis, renewedAtMillis)

private fun fleet(self: String, vararg members: FleetMember): Fleet {
    val me = members.first { it.host.value == self }
    return confirmRenewal(
        observeScan(loneFleet(me), FleetScan(members.toList(), SCANNED_AT, now)),
        me,
        now,
    )
}

class FleetRankingSpec : DescribeSpec({
    val three = arrayOf(member("a"), member("b"), member("c"))
    val keys = (1..200).map { "limit/t$it" }

    describe("the members that serve a key") {
        it("are ranked alike on every host") {
            keys.forEach { key ->
                fleet("a", *three).ranked(key, now).map { it.host } shouldBe
                    fleet("c", *three).ranked(key, now).map { it.host }
            }
        }

        it("are the strong ones, whatever small hosts there are") {
            val small = (1..20).map { member("s$it").copy(cores = 0.36) }.toTypedArray()
            val mixed = fleet("a", *three, *small)
            keys.flatMap { key -> mixed.ranked(key, now).map { it.host.value } }.toSet() shouldBe setOf("a", "b", "c")
            keys.map { mixed.settledOwner(it, now)?.host?.value }.toSet() shouldBe setOf("a", "b", "c")
        }

        it("leave out those whose lease has ended") {
            val lapsed = fleet("a", member("a"), member("b", renewedAtMillis = SCANNED_AT - 4_000), member("c"))
            lapsed.ranked("k", now).map { it.host.value } shouldContainExactlyInAnyOrder listOf("a", "c")
        }

        it("leave out those that did not answer, for a while") {
            val doubted = suspect(fleet("a", *three), HostId("b"), now)
            doubted.ranked("k", now).map { it.host.value } shouldContainExactlyInAnyOrder listOf("a", "c")
            doubted.ranked("k", now + 2.seconds).size shouldBe 3
        }
    }

    describe("the hosts that may take requests") {
        it("are the living and those that lapsed a short time ago") {
            val lapsed = arrayOf(member("a"), member("b", renewedAtMillis = SCANNED_AT - 4_000))
            fleet("a", *lapsed).hostsAround() shouldBe 2
            fleet("a", member("a"), member("b", renewedAtMillis = SCANNED_AT - 16_000)).hostsAround() shouldBe 1
        }

        it("are taken for many before any is known") {
            loneFleet(member("a")).hostsAround() shouldBe 32
        }
    }

    describe("the levels of buckets") {
        it("are the latest that owners announced, for ten seconds") {
            val team = TeamId("walkers")
            val first = fleet("a", member("a"), member("b").copy(levels = mapOf(team to 3)))
            first.levels[team] shouldBe BucketLevel(3, SCANNED_AT)
            val later = observeScan(first, FleetScan(listOf(member("a")), SCANNED_AT + 9_000, now))
            later.levels[team] shouldBe BucketLevel(3, SCANNED_AT)
            observeScan(first, FleetScan(listOf(member("a")), SCANNED_AT + 11_000, now)).levels shouldBe emptyMap()
        }
    }

    describe("the bucket of a team") {
        it("has one owner among all hosts") {
            keys.forEach { key ->
                listOf("a", "b", "c").count { fleet(it, *three).bucketPlace(key, now) == BucketPlace.Here } shouldBe 1
            }
        }

        it("has no second owner while the first is suspected") {
            val key = keys.first { fleet("a", *three).bucketPlace(it, now) == BucketPlace.Elsewhere(member("b")) }
            suspect(fleet("a", *three), HostId("b"), now).bucketPlace(key, now) shouldBe BucketPlace.Unreachable
        }

        it("stays with its owner until a new host has been seen by all") {
            val joining = fleet("a", *three, member("d", joinedAtMillis = SCANNED_AT - 1_000))
            keys.forEach { joining.bucketPlace(it, now) shouldBe fleet("a", *three).bucketPlace(it, now) }
        }

        it("is not filled by a host whose own lease may have ended, by either clock") {
            val key = keys.first { fleet("a", *three).bucketPlace(it, now) == BucketPlace.Here }
            val suspended = Moment(now.monotonicNanos, now.epochMillis + 5_000)
            fleet("a", *three).bucketPlace(key, suspended) shouldBe BucketPlace.Unreachable
            fleet("a", *three).ownLeaseHolds(now + 3.seconds) shouldBe false
        }

        it("is kept through an outage for those that are cut off as well") {
            val key = keys.first { fleet("a", *three).bucketPlace(it, now) == BucketPlace.Here }
            fleet("a", *three).bucketPlace(key, now + 10.seconds) shouldBe BucketPlace.Here
        }
    }
})
