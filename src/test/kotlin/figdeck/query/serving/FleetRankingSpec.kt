package figdeck.query.serving

import figdeck.command.serving.applyScan
import figdeck.command.serving.confirmRenewal
import figdeck.command.serving.markSuspect
import figdeck.command.serving.singleMemberFleet
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
        applyScan(singleMemberFleet(me), FleetScan(members.toList(), SCANNED_AT, now)),
        me,
        now,
    )
}

class FleetRankingSpec : DescribeSpec({
    val three = arrayOf(member("a"), member("b"), member("c"))
    val keys = (1..200).map { "limit/t$it" }

    describe("the members ranked for a key") {
        it("have the same order on every host") {
            keys.forEach { key ->
                fleet("a", *three).ranked(key, now).map { it.host } shouldBe
                    fleet("c", *three).ranked(key, now).map { it.host }
            }
        }

        it("exclude small hosts, however many there are") {
            val smallHosts = (1..20).map { member("s$it").copy(cores = 0.36) }.toTypedArray()
            val mixed = fleet("a", *three, *smallHosts)
            keys.flatMap { key -> mixed.ranked(key, now).map { it.host.value } }.toSet() shouldBe setOf("a", "b", "c")
            keys.map { mixed.settledOwner(it, now)?.host?.value }.toSet() shouldBe setOf("a", "b", "c")
        }

        it("exclude members whose lease has expired") {
            val lapsed = fleet("a", member("a"), member("b", renewedAtMillis = SCANNED_AT - 4_000), member("c"))
            lapsed.ranked("k", now).map { it.host.value } shouldContainExactlyInAnyOrder listOf("a", "c")
        }

        it("exclude suspects for a limited time") {
            val withSuspect = markSuspect(fleet("a", *three), HostId("b"), now)
            withSuspect.ranked("k", now).map { it.host.value } shouldContainExactlyInAnyOrder listOf("a", "c")
            withSuspect.ranked("k", now + 2.seconds).size shouldBe 3
        }
    }

    describe("the estimated number of hosts") {
        it("counts live members and those whose lease expired recently") {
            val lapsed = arrayOf(member("a"), member("b", renewedAtMillis = SCANNED_AT - 4_000))
            fleet("a", *lapsed).estimatedHostCount() shouldBe 2
            fleet("a", member("a"), member("b", renewedAtMillis = SCANNED_AT - 16_000)).estimatedHostCount() shouldBe 1
        }

        it("is 32 before the member list was read") {
            singleMemberFleet(member("a")).estimatedHostCount() shouldBe 32
        }
    }

    describe("the announced bucket levels") {
        it("are the latest of all owners and expire after ten seconds") {
            val team = TeamId("walkers")
            val first = fleet("a", member("a"), member("b").copy(levels = mapOf(team to 3)))
            first.levels[team] shouldBe BucketLevel(3, SCANNED_AT)
            val later = applyScan(first, FleetScan(listOf(member("a")), SCANNED_AT + 9_000, now))
            later.levels[team] shouldBe BucketLevel(3, SCANNED_AT)
            applyScan(first, FleetScan(listOf(member("a")), SCANNED_AT + 11_000, now)).levels shouldBe emptyMap()
        }
    }

    describe("the bucket of a team") {
        it("has one owner among all hosts") {
            keys.forEach { key ->
                listOf("a", "b", "c").count {
                    fleet(it, *three).bucketLocation(key, now) == BucketLocation.Local
                } shouldBe 1
            }
        }

        it("gets no second owner while the first is suspected") {
            val key = keys.first { fleet("a", *three).bucketLocation(it, now) == BucketLocation.Remote(member("b")) }
            markSuspect(fleet("a", *three), HostId("b"), now).bucketLocation(key, now) shouldBe
                BucketLocation.Unreachable
        }

        it("stays with its owner until all hosts have seen a new member") {
            val joining = fleet("a", *three, member("d", joinedAtMillis = SCANNED_AT - 1_000))
            keys.forEach { joining.bucketLocation(it, now) shouldBe fleet("a", *three).bucketLocation(it, now) }
        }

        it("is not refilled by a host whose lease may have expired by either clock") {
            val key = keys.first { fleet("a", *three).bucketLocation(it, now) == BucketLocation.Local }
            val suspended = Moment(now.monotonicNanos, now.epochMillis + 5_000)
            fleet("a", *three).bucketLocation(key, suspended) shouldBe BucketLocation.Unreachable
            fleet("a", *three).ownLeaseHolds(now + 3.seconds) shouldBe false
        }

        it("stays with its owner during a store outage, for hosts that are cut off too") {
            val key = keys.first { fleet("a", *three).bucketLocation(it, now) == BucketLocation.Local }
            fleet("a", *three).bucketLocation(key, now + 10.seconds) shouldBe BucketLocation.Local
        }
    }
})
